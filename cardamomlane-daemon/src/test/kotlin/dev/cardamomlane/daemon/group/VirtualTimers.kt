package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import reactor.test.scheduler.VirtualTimeScheduler
import java.util.concurrent.TimeUnit

/** A [TimerService] that runs on the virtual time of [scheduler]. */
internal class VirtualTimers(private val scheduler: VirtualTimeScheduler) : TimerService {
    override fun nowMillis(): Long = scheduler.now(TimeUnit.MILLISECONDS)

    override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription =
        scheduler.schedule(action, delayMillis, TimeUnit.MILLISECONDS).let { TimerSubscription { it.dispose() } }

    override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription =
        scheduler.schedulePeriodically(action, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
            .let { TimerSubscription { it.dispose() } }
}
