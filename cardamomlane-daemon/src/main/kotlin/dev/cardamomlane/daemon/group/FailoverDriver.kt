package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.failover.FailoverAction
import dev.cardamomlane.core.failover.FailoverEvent
import dev.cardamomlane.core.failover.FailoverMachine
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.daemon.GuardedParts
import dev.cardamomlane.store.RateLimitedLog
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import java.time.Duration

/**
 * Polls the targets of one group, and performs the actions of its [FailoverMachine].
 *
 * To be used on the event loop only. [scheduler] runs tasks on it and [timers] call on it.
 */
internal class FailoverDriver(
    private val monitor: GroupMonitor,
    private val machine: FailoverMachine,
    private val controls: Map<TargetId, TargetControl>,
    private val claims: TermClaims,
    private val messenger: PeerMessenger,
    private val timers: TimerService,
    private val scheduler: Scheduler,
    private val settings: FailoverDriverSettings = FailoverDriverSettings(),
) {
    private val pollers = controls.values.map { control ->
        TargetPoller(control, monitor, timers, scheduler, settings) { on(FailoverEvent.Tick) }
    }
    private val parts = GuardedParts(RateLimitedLog(timers::nowMillis))
    private val subscriptions = ArrayList<TimerSubscription>()
    private var polledAtMillis = Long.MIN_VALUE / 2
    private var isPollDue = false
    private var loggedTerm = 0L

    fun start() {
        subscriptions += timers.every(settings.pollMillis) { poll() }
        subscriptions += timers.every(settings.tickMillis) { on(FailoverEvent.Tick) }
        poll()
    }

    fun stop() {
        subscriptions.forEach { it.cancel() }
        controls.values.forEach { it.close() }
    }

    /** Passes [event] to the failover machine and performs the actions that it returns. */
    fun on(event: FailoverEvent) {
        parts.runEach("failover: an action in ${monitor.database}", machine.on(event, timers.nowMillis()), ::perform)
        logTerm()
    }

    /**
     * Finds the minimum position of a session that came without a position. Fails with a `TimeoutException` when no
     * majority of the targets answers in time.
     */
    fun minimumPosition(): Mono<LogPosition> = Mono.create<LogPosition> { sink ->
        monitor.requestMinimumPosition { sink.success(it) }
        pollSoon()
    }.timeout(Duration.ofMillis(settings.minimumPositionTimeoutMillis), scheduler)

    /**
     * Polls now, or once [FailoverDriverSettings.pollSpacingMillis] have passed since the last poll, so that requests
     * that come close together share a round.
     */
    fun pollSoon() {
        if (isPollDue) return
        isPollDue = true
        val waitMillis = (polledAtMillis + settings.pollSpacingMillis - timers.nowMillis()).coerceAtLeast(0)
        timers.after(waitMillis) { poll() }
    }

    private fun poll() {
        isPollDue = false
        val nowMillis = timers.nowMillis()
        polledAtMillis = nowMillis
        val round = monitor.beginRound(nowMillis)
        parts.runEach("failover: a poll in ${monitor.database}", pollers) { it.poll(round) }
    }

    private fun perform(action: FailoverAction) {
        if (action !is FailoverAction.Follow) Logger.info("failover: {}: Performing {}.", monitor.database, action)
        when (action) {
            is FailoverAction.AskPeers -> askPeers()
            is FailoverAction.ClaimTerm -> claim(action)
            is FailoverAction.Fence -> fence(action)
            is FailoverAction.Promote -> promote(action)
            is FailoverAction.Follow -> follow(action)
            is FailoverAction.AnnounceTerm -> announce(action)
        }
    }

    private fun askPeers() {
        on(FailoverEvent.PeersQueried(messenger.peerCount()))
        messenger.askViews(monitor.database, settings.peerTimeoutMillis).publishOn(scheduler)
            .subscribe({ on(FailoverEvent.PeerAnswered(it)) }, { logFailure("Asking peers", it) })
    }

    private fun claim(action: FailoverAction.ClaimTerm) {
        claims.claim(action.term, action.claimant).publishOn(scheduler).subscribe(
            { on(FailoverEvent.ClaimAnswered(action.term, it)) },
            { logFailure("Claiming a term", it) },
        )
    }

    private fun fence(action: FailoverAction.Fence) {
        control(action.target).fence(action.term, action.claimant).within(settings.commandTimeoutMillis).subscribe(
            { on(FailoverEvent.FenceAnswered(action.target, action.term, it.granted, it.status)) },
            { logFailure("Fencing ${action.target}", it) },
        )
    }

    private fun promote(action: FailoverAction.Promote) {
        control(action.target).promote(action.term, action.claimant).within(settings.promoteTimeoutMillis).subscribe(
            { on(FailoverEvent.PromoteAnswered(action.target, action.term, it)) },
            { logFailure("Promoting ${action.target}", it) },
        )
    }

    private fun follow(action: FailoverAction.Follow) {
        control(action.target).follow(action.term, action.primary).within(settings.commandTimeoutMillis)
            .subscribe({ }, { logFailure("Making ${action.target} follow the primary", it) })
    }

    private fun announce(action: FailoverAction.AnnounceTerm) {
        messenger.announceTerm(monitor.database, action.term, action.primary)
        claims.record(action.term, action.claimant, action.primary)
            .subscribe({ }, { logFailure("Recording the primary", it) })
        pollSoon()
    }

    private fun control(target: TargetId): TargetControl =
        checkNotNull(controls[target]) { "database ${monitor.database} has no target $target" }

    private fun <T : Any> Mono<T>.within(millis: Long): Mono<T> =
        timeout(Duration.ofMillis(millis), scheduler).publishOn(scheduler)

    private fun logFailure(what: String, cause: Throwable) =
        Logger.info("failover: {} in {} failed. {}", what, monitor.database, cause.message)

    private fun logTerm() {
        if (monitor.term == loggedTerm) return
        loggedTerm = monitor.term
        Logger.info("failover: {} has primary {} in term {}.", monitor.database, monitor.primary, monitor.term)
    }
}
