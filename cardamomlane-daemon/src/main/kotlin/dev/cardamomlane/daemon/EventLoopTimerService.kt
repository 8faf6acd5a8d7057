package dev.cardamomlane.daemon

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import io.netty.channel.EventLoop
import org.tinylog.kotlin.Logger
import java.util.concurrent.TimeUnit

/** A [TimerService] on the JVM's monotonic clock that calls subscribers on [loop]. */
internal class EventLoopTimerService(private val loop: EventLoop) : TimerService {
    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.schedule({ action() }, delayMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.scheduleWithFixedDelay(logFailures(action), periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    /** Logs exceptions of [action]. Uncaught, an exception would silently end the repeated task. */
    private fun logFailures(action: () -> Unit) = Runnable {
        try {
            action()
        } catch (error: Exception) {
            Logger.error(error, "timer: A repeated task failed.")
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
