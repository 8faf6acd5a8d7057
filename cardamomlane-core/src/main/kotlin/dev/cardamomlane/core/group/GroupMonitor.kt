package dev.cardamomlane.core.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import kotlinx.collections.immutable.ImmutableList

/**
 * What this host knows of one database group: the reports of its targets, its current term and primary, the floor for
 * sessions without a position, and samples that bound the age of replicas without any clock of the targets.
 *
 * A sample is a pair of the moment a round was sent and the log end of the primary in that round. It is taken only if
 * a majority of the targets, the primary among them, answered the round and none of them was fenced beyond the
 * primary's term. Then nobody could have acknowledged a write in a later term before the round was sent, so a target
 * that has applied the sample's position holds every write that was acknowledged before that moment.
 *
 * Not safe for use by several threads, except for [table].
 */
public class GroupMonitor(
    public val database: DatabaseId,
    public val targets: ImmutableList<GroupTarget>,
    private val settings: RoutingSettings = RoutingSettings(),
) {
    init {
        require(targets.isNotEmpty()) { "database $database has no targets" }
        require(targets.distinctBy { it.id }.size == targets.size) { "database $database names a target twice" }
    }

    private val states = targets.associate { it.id to TargetState(it) }
    private val minimumPositionRequests = MinimumPositionRequests()
    private var rounds = 0L
    private var confirmedAtMillis: Long? = null
    private var samples = PositionHistory.EMPTY
    private var timeline = PositionHistory.EMPTY

    /** The number of targets that make a majority of the group. */
    public val majority: Int = targets.size / 2 + 1

    /** The highest term that is known to have a primary; 0 before the first. */
    public var term: Long = 0
        private set

    /** The primary of [term]. */
    public var primary: TargetId? = null
        private set

    /** The current routing decisions. */
    @Volatile
    public var table: RoutingTable = buildTable()
        private set

    /** Starts a round. Polls of the round must be sent after this call. */
    public fun beginRound(nowMillis: Long): PollRound = PollRound(++rounds, nowMillis)

    /** Takes in the answer of [target] to [round]. */
    public fun onStatus(round: PollRound, target: TargetId, status: TargetStatus, nowMillis: Long) {
        val state = state(target)
        round.answers[target] = status
        state.onReport(TargetReport(target, status, round.sentAtMillis, nowMillis), timeline)
        if (status.isPrimaryInTerm) adopt(status.fenceTerm, target)
        // A target follows a primary only after that primary was promoted in the term.
        status.following?.takeIf { it in states }?.let { adopt(status.fenceTerm, it) }
        if (round.answers.size >= majority) {
            takeSample(round)
            minimumPositionRequests.answer(round)
        }
        table = buildTable()
    }

    /** Takes in that [target] did not answer a poll that was sent at [sentAtMillis]. */
    public fun onFailure(target: TargetId, sentAtMillis: Long, newConnection: Boolean) {
        state(target).onFailure(sentAtMillis, newConnection)
        table = buildTable()
    }

    /** Takes in from a peer or a completed failover that [primary] leads [term]. */
    public fun onTerm(term: Long, primary: TargetId) {
        state(primary)
        adopt(term, primary)
        table = buildTable()
    }

    /** Takes in that the write at [position] was acknowledged. */
    public fun onAcknowledged(position: LogPosition, nowMillis: Long) {
        timeline = timeline.plus(nowMillis, position)
        table = buildTable()
    }

    /** Takes in that [target] had [applied] when it answered a position check. */
    public fun onApplied(target: TargetId, applied: LogPosition, nowMillis: Long) {
        state(target).lag.onApplied(applied, nowMillis, timeline)
        table = buildTable()
    }

    /** Takes in that a read on [target] found less applied than it needed. */
    public fun onMissed(target: TargetId) {
        state(target).lag.onMissed()
        table = buildTable()
    }

    /** Calls [onPosition] once with a position that covers every write acknowledged before this call. */
    public fun requestMinimumPosition(onPosition: (LogPosition) -> Unit) {
        minimumPositionRequests.add(firstRound = rounds + 1, onPosition)
    }

    /** The last report of [target], or null before the first. */
    public fun report(target: TargetId): TargetReport? = state(target).report

    /** Whether [target] answers. */
    public fun reachability(target: TargetId): Reachability = state(target).reachability

    /** The estimated replay lag of [target]. */
    public fun lagMillis(target: TargetId): Double = state(target).lag.millis

    /** The last reports of all targets whose last poll was answered. */
    public fun reachableReports(): List<TargetReport> =
        states.values.filter { it.reachability.failures == 0 }.mapNotNull { it.report }

    /** Whether a majority of the targets answers. */
    public val reachesMajority: Boolean
        get() = reachableReports().size >= majority

    private fun state(target: TargetId): TargetState =
        requireNotNull(states[target]) { "database $database has no target $target" }

    private fun adopt(newTerm: Long, newPrimary: TargetId) {
        if (newTerm <= term) return
        term = newTerm
        primary = newPrimary
    }

    private fun takeSample(round: PollRound) {
        val confirming = round.answers.values.count { it.fenceTerm <= term }
        if (confirming < majority) return
        confirmedAtMillis = maxOf(confirmedAtMillis ?: round.sentAtMillis, round.sentAtMillis)
        val leader = primary?.let { round.answers[it] } ?: return
        if (!leader.isPrimaryInTerm || leader.fenceTerm != term) return
        samples = samples.plus(round.sentAtMillis, leader.received)
        timeline = timeline.plus(round.sentAtMillis, leader.received)
    }

    private fun buildTable(): RoutingTable = RoutingTable(
        term = term,
        primary = primary?.let { state(it).primaryCandidate(term) },
        replicas = states.values.mapNotNull { it.replicaCandidate(term, primary) }.toTypedArray(),
        confirmedAtMillis = confirmedAtMillis,
        samples = samples,
        timeline = timeline,
        settings = settings,
    )
}
