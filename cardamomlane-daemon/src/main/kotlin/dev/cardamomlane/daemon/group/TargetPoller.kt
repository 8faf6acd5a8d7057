package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.PollRound
import dev.cardamomlane.store.RateLimitedLog
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration
import java.util.concurrent.TimeoutException

/**
 * Polls one target and reports the answers and failures to [monitor]. It uses the kept connection, and new connections
 * (probes) while polls on the kept one stay unanswered.
 *
 * An answer that comes after its poll counted as failed is still reported, because it distinguishes a slow target from
 * a silent one. The number of probes that wait at once is bounded, so that a slow target does not run out of control
 * connections.
 *
 * @param onChange called after each report to [monitor]
 */
internal class TargetPoller(
    private val control: TargetControl,
    private val monitor: GroupMonitor,
    private val timers: TimerService,
    private val scheduler: Scheduler,
    private val settings: FailoverDriverSettings,
    private val onChange: () -> Unit,
) {
    private var unansweredSinceMillis: Long? = null
    private var probedAtMillis = Long.MIN_VALUE / 2
    private var openProbes = 0
    private val log = RateLimitedLog(timers::nowMillis)

    /** Polls the target for [round]. Sends nothing while polls are unanswered and no further probe is allowed. */
    fun poll(round: PollRound) {
        val sinceMillis = unansweredSinceMillis ?: round.sentAtMillis
        unansweredSinceMillis = sinceMillis
        when {
            round.sentAtMillis - sinceMillis < settings.probeAfterMillis -> ask(round, newConnection = false)
            mayProbe(round.sentAtMillis) -> probe(round)
        }
    }

    private fun mayProbe(nowMillis: Long): Boolean =
        openProbes < settings.maxProbes && nowMillis - probedAtMillis >= settings.probeAfterMillis

    private fun probe(round: PollRound) {
        probedAtMillis = round.sentAtMillis
        openProbes++
        ask(round, newConnection = true)
    }

    private fun ask(round: PollRound, newConnection: Boolean) {
        var isPending = true
        val onFailed = {
            if (isPending) {
                isPending = false
                monitor.onFailure(control.target, round.sentAtMillis, newConnection)
                onChange()
            }
        }
        val timeout = timers.after(settings.pollTimeoutMillis, onFailed)
        Mono.defer { control.status(newConnection) }
            .timeout(Duration.ofMillis(settings.lateAnswerMillis), scheduler)
            .publishOn(scheduler)
            .doFinally {
                timeout.cancel()
                if (newConnection) openProbes--
            }
            .subscribe(
                { status ->
                    isPending = false
                    unansweredSinceMillis = null
                    monitor.onStatus(round, control.target, status, timers.nowMillis())
                    onChange()
                },
                { cause ->
                    if (cause !is TimeoutException) log.warn("failover: poll of ${control.target}", "$cause")
                    onFailed()
                },
            )
    }
}
