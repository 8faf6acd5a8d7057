package dev.cardamomlane.standin.lane.time

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import io.netty.channel.EventLoop
import org.tinylog.kotlin.Logger
import java.util.concurrent.TimeUnit

/** Timers that call their actions on [loop], so that they run one after another with all else on that loop. */
internal class LoopTimers(private val loop: EventLoop) : TimerService {
    override fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.schedule({ guarded(action) }, delayMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.scheduleAtFixedRate({ guarded(action) }, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    /** An exception would end a repeated task without a trace. */
    private fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (e: RuntimeException) {
            Logger.error(e, "timer: an action failed")
        }
    }
}
