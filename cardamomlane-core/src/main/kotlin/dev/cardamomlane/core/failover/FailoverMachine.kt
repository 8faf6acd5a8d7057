package dev.cardamomlane.core.failover

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.GroupMonitor
import kotlin.random.Random

/**
 * The failover state machine of one database group in one daemon. It does no I/O: [on] returns the actions to carry
 * out.
 *
 * When peers confirm that the primary is unreachable, or the group needs a new term for another [FailoverReason], the
 * machine claims the next term in the platform's table, fences a majority of the targets at that term, promotes the
 * fenced target with the highest received position, and announces it to peers. Safety rests on the targets, each of
 * which grants a term to one claimant only: two claimants never both have a majority at the same term. The claim at the
 * platform only avoids races between daemons, so an attempt continues without it when the platform does not answer in
 * time.
 *
 * An attempt never reuses a term: after one is abandoned, the next takes a higher term. Every action may be repeated,
 * may take effect without an answer, and may be carried out by several daemons at once.
 *
 * Not safe for use by several threads.
 *
 * @property claimant identifies this machine at the targets and the platform; must differ after each start of the
 *   process
 */
public class FailoverMachine(
    private val host: HostId,
    private val claimant: String,
    private val monitor: GroupMonitor,
    private val random: Random,
    private val settings: FailoverSettings = FailoverSettings(),
) {
    private val trigger = FailoverTrigger(monitor, settings)
    private val limit = FailoverRateLimit()
    private val actions = ArrayList<FailoverAction>()
    private var phase: Phase = Phase.Idle()
    private var knownTerm = monitor.term
    private var highestTerm = 0L
    private var unansweredQueries = 0
    private var followSentAtMillis: Long? = null

    /** The answer to a peer's [FailoverAction.AskPeers] at [nowMillis]. */
    public fun view(nowMillis: Long): PeerView = PeerView(host, monitor.term, monitor.primary, trigger.reach(nowMillis))

    /** Handles [event] at [nowMillis] and returns the actions to carry out, in this order. */
    public fun on(event: FailoverEvent, nowMillis: Long): List<FailoverAction> {
        trigger.update(nowMillis)
        accept(event, nowMillis)
        handleNewTerm(nowMillis)
        advance(nowMillis)
        sendFollows(nowMillis)
        return actions.toList().also { actions.clear() }
    }

    private fun accept(event: FailoverEvent, nowMillis: Long) {
        when (event) {
            FailoverEvent.Tick -> Unit
            is FailoverEvent.PeersQueried -> (phase as? Phase.QueryingPeers)?.tally?.onQueried(event.peers)
            is FailoverEvent.PeerAnswered -> onPeer(event.view)
            is FailoverEvent.ClaimAnswered -> onClaim(event, nowMillis)
            is FailoverEvent.FenceAnswered -> onFence(event, nowMillis)
            is FailoverEvent.PromoteAnswered -> onPromote(event, nowMillis)
            is FailoverEvent.TermAnnounced -> onTermLearned(event.term, event.primary)
        }
    }

    private fun onPeer(view: PeerView) {
        view.primary?.let { onTermLearned(view.term, it) }
        (phase as? Phase.QueryingPeers)?.tally?.onAnswer(view)
    }

    /** Ignores a [primary] that is no target of this group, which a peer with other settings may name. */
    private fun onTermLearned(term: Long, primary: TargetId) {
        if (monitor.targets.any { it.id == primary }) monitor.onTerm(term, primary)
    }

    private fun onClaim(event: FailoverEvent.ClaimAnswered, nowMillis: Long) {
        val claiming = phase as? Phase.Claiming ?: return
        if (event.term != claiming.term) return
        when (val outcome = event.outcome) {
            ClaimOutcome.Won, ClaimOutcome.Unknown -> startFencing(claiming, nowMillis)
            is ClaimOutcome.Lost -> backOff(outcome.term, nowMillis)
        }
    }

    private fun onFence(event: FailoverEvent.FenceAnswered, nowMillis: Long) {
        highestTerm = maxOf(highestTerm, event.status.fenceTerm)
        val fencing = phase as? Phase.Fencing ?: return
        if (event.term != fencing.term) return
        when {
            event.granted -> fencing.tally.onGranted(event.target, event.status, nowMillis)
            event.status.fenceTerm >= fencing.term -> backOff(event.status.fenceTerm, nowMillis)
        }
    }

    private fun onPromote(event: FailoverEvent.PromoteAnswered, nowMillis: Long) {
        val promoting = phase as? Phase.Promoting ?: return
        if (event.term != promoting.term || event.target != promoting.target) return
        if (event.granted) announce(promoting, nowMillis) else backOff(promoting.term, nowMillis)
    }

    private fun announce(promoting: Phase.Promoting, nowMillis: Long) {
        monitor.onTerm(promoting.term, promoting.target)
        actions += FailoverAction.AnnounceTerm(promoting.term, promoting.target, claimant)
        monitor.targets.filter { it.id != promoting.target }
            .forEach { actions += FailoverAction.Follow(it.id, promoting.term, promoting.target) }
        followSentAtMillis = nowMillis
        setPhase(Phase.Idle())
    }

    private fun handleNewTerm(nowMillis: Long) {
        if (monitor.term <= knownTerm) return
        knownTerm = monitor.term
        limit.onNewTerm(nowMillis)
        when (val current = phase) {
            // Once targets are fenced at a later term, only that attempt can give the group a primary again, so it
            // continues.
            is Phase.Fencing -> if (monitor.term >= current.term) setPhase(Phase.Idle())
            is Phase.Promoting -> if (monitor.term >= current.term) setPhase(Phase.Idle())
            else -> setPhase(Phase.Idle())
        }
    }

    private fun advance(nowMillis: Long) {
        when (val current = phase) {
            is Phase.Idle -> advanceIdle(current, nowMillis)
            is Phase.QueryingPeers -> advanceQueryingPeers(current, nowMillis)
            is Phase.Staggering -> advanceStaggering(current, nowMillis)
            is Phase.Claiming ->
                if (nowMillis - current.sinceMillis >= settings.claimTimeoutMillis) startFencing(current, nowMillis)
            is Phase.Fencing -> advanceFencing(current, nowMillis)
            is Phase.Promoting -> advancePromoting(current, nowMillis)
        }
    }

    private fun advanceIdle(idle: Phase.Idle, nowMillis: Long) {
        val reason = trigger.reason(nowMillis) ?: return
        if (nowMillis < idle.notBeforeMillis || (reason.isRateLimited && !limit.allows(nowMillis))) return
        if (reason == FailoverReason.PRIMARY_UNREACHABLE) {
            unansweredQueries = 0
            queryPeers(nowMillis)
        } else {
            // These reasons follow from the targets' own reports, so no peer needs to be queried.
            phase = Phase.Staggering(reason, nowMillis + random.nextLong(settings.staggerMillis))
        }
    }

    private fun queryPeers(nowMillis: Long) {
        phase = Phase.QueryingPeers(nowMillis, PeerTally(nowMillis))
        actions += FailoverAction.AskPeers(monitor.term)
    }

    private fun advanceQueryingPeers(querying: Phase.QueryingPeers, nowMillis: Long) {
        if (trigger.reason(nowMillis) != FailoverReason.PRIMARY_UNREACHABLE) return setPhase(Phase.Idle())
        val tally = querying.tally
        if (!tally.isComplete(nowMillis, settings)) return
        unansweredQueries = if (tally.isUnanswered) unansweredQueries + 1 else 0
        val mayActAlone = !tally.any(PrimaryReach.FAILING) &&
            (!tally.isUnanswered || unansweredQueries >= settings.unansweredQueryLimit)
        when {
            tally.any(PrimaryReach.REACHED) -> setPhase(Phase.Idle(nowMillis + settings.queryTimeoutMillis))
            tally.any(PrimaryReach.SUSPECTED) -> stagger(tally.suspecting(), nowMillis)
            mayActAlone && trigger.isReplicationIdle(nowMillis) -> stagger(emptyList(), nowMillis)
            nowMillis - querying.queriedAtMillis >= settings.queryRetryMillis -> queryPeers(nowMillis)
        }
    }

    /**
     * Delays this host's claim by a random time unless no peer in [peers] has a lower rank, so that one host claims
     * first and the others don't claim at the same time.
     */
    private fun stagger(peers: List<HostId>, nowMillis: Long) {
        val rank = peers.count { rankOf(it) < rankOf(host) }
        val delayMillis = if (rank == 0) 0 else settings.staggerMillis / 2 + random.nextLong(settings.staggerMillis)
        phase = Phase.Staggering(FailoverReason.PRIMARY_UNREACHABLE, nowMillis + delayMillis)
        if (delayMillis == 0L) advance(nowMillis)
    }

    private fun rankOf(peer: HostId): Int = "${monitor.database}/${monitor.term}/$peer".hashCode()

    private fun advanceStaggering(staggering: Phase.Staggering, nowMillis: Long) {
        if (trigger.reason(nowMillis) != staggering.reason) return setPhase(Phase.Idle())
        if (nowMillis < staggering.untilMillis) return
        val fenced = monitor.reachableReports().maxOfOrNull { it.status.fenceTerm } ?: 0
        val term = maxOf(monitor.term, highestTerm, fenced) + 1
        highestTerm = term
        phase = Phase.Claiming(staggering.reason, term, nowMillis)
        actions += FailoverAction.ClaimTerm(term, claimant)
    }

    private fun startFencing(claiming: Phase.Claiming, nowMillis: Long) {
        val avoided = if (claiming.reason.avoidsPrimary) setOfNotNull(monitor.primary) else emptySet()
        phase = Phase.Fencing(claiming.term, nowMillis, FenceTally(monitor, avoided))
        monitor.targets.forEach { actions += FailoverAction.Fence(it.id, claiming.term, claimant) }
    }

    private fun advanceFencing(fencing: Phase.Fencing, nowMillis: Long) {
        if (fencing.tally.isComplete(nowMillis, settings.fenceGraceMillis)) return startPromoting(fencing, nowMillis)
        if (nowMillis - fencing.sinceMillis >= settings.fenceTimeoutMillis) return backOff(fencing.term, nowMillis)
        if (nowMillis - fencing.sentAtMillis < settings.commandRetryMillis) return
        fencing.sentAtMillis = nowMillis
        monitor.targets.filterNot { fencing.tally.isGranted(it.id) }
            .forEach { actions += FailoverAction.Fence(it.id, fencing.term, claimant) }
    }

    private fun startPromoting(fencing: Phase.Fencing, nowMillis: Long) {
        val target = fencing.tally.choosePrimary()
        phase = Phase.Promoting(fencing.term, target, nowMillis)
        actions += FailoverAction.Promote(target, fencing.term, claimant)
    }

    private fun advancePromoting(promoting: Phase.Promoting, nowMillis: Long) {
        val sinceMillis = nowMillis - promoting.sinceMillis
        val lost = monitor.reachability(promoting.target).newConnectionFailures >= settings.newConnectionFailures &&
            sinceMillis >= settings.suspicionMillis
        if (lost || sinceMillis >= settings.promoteTimeoutMillis) return backOff(promoting.term, nowMillis)
        if (nowMillis - promoting.sentAtMillis < settings.commandRetryMillis) return
        promoting.sentAtMillis = nowMillis
        actions += FailoverAction.Promote(promoting.target, promoting.term, claimant)
    }

    private fun backOff(seenTerm: Long, nowMillis: Long) {
        highestTerm = maxOf(highestTerm, seenTerm)
        val delayMillis = random.nextLong(settings.backoffMinMillis, settings.backoffMaxMillis)
        setPhase(Phase.Idle(nowMillis + delayMillis))
    }

    private fun setPhase(next: Phase) {
        phase = next
    }

    /** Tells targets, including an old primary, that do not follow the primary of the current term to do so. */
    private fun sendFollows(nowMillis: Long) {
        val primary = monitor.primary ?: return
        if (phase !is Phase.Idle || nowMillis - (followSentAtMillis ?: NEVER) < settings.followRetryMillis) return
        val notFollowing = monitor.reachableReports().filter { report ->
            val status = report.status
            val follows = status.fenceTerm == monitor.term && status.following == primary
            report.target != primary && status.fenceTerm <= monitor.term && !follows
        }
        if (notFollowing.isEmpty()) return
        followSentAtMillis = nowMillis
        notFollowing.forEach { actions += FailoverAction.Follow(it.target, monitor.term, primary) }
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE / 2
    }
}
