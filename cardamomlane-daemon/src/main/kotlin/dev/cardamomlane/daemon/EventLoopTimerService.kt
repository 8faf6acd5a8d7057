package dev.cardamomlane.daemon

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.clock.ElapsedClock
import dev.cardamomlane.core.clock.MachineClock
import dev.cardamomlane.store.RateLimitedLog
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * A [TimerService] that calls subscribers on [loop].
 *
 * Its time is that of [clock]. The delays of its timers don't count the time for which the machine is suspended, so
 * timers are late after a suspension, as after a pause of the process.
 */
internal class EventLoopTimerService(private val loop: EventLoop, internal val clock: ElapsedClock = MachineClock) :
    TimerService {
    private val log = RateLimitedLog(::nowMillis)

    override fun nowMillis(): Long = clock.nowMillis()

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
}
