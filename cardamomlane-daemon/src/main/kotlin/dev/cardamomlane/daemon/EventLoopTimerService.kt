package dev.cardamomlane.daemon

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.store.RateLimitedLog
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** A [TimerService] on the JVM's monotonic clock that calls subscribers on [loop]. */
internal class EventLoopTimerService(private val loop: EventLoop) : TimerService {
    private val log = RateLimitedLog(::nowMillis)

    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription {
        val task = loop.schedule(logFailures("a task", action), delayMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
        val repeated = logFailures("a repeated task", action)
        val task = loop.scheduleWithFixedDelay(repeated, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
        return TimerSubscription { task.cancel(false) }
    }

    /**
     * Logs whatever [action] throws, also errors of the virtual machine. Uncaught, it would end a repeated task, such
     * as the heartbeats of this host, and no one would see it.
     */
    private fun logFailures(kind: String, action: () -> Unit) = Runnable {
        try {
            action()
        } catch (failure: Throwable) {
            log.error("timer: $kind at ${failure.stackTrace.firstOrNull()}", failure)
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
