package dev.cardamomlane.core.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import kotlinx.collections.immutable.ImmutableList

/**
 * Tracks what this host knows of one database group: the reports of its targets, its current term and primary, the
 * minimum position for sessions without a position, and samples that bound the age of the data on replicas without
 * using the clocks of the targets.
 *
 * A sample pairs the time at which a round was sent with the end of the primary's log in that round. It is taken only
 * if a majority of the targets, the primary among them, answered the round and none of that majority was fenced beyond
 * the primary's term. Then no write of a later term can have been acknowledged before the round was sent, so a target
 * that has applied the sample's position contains every write that was acknowledged before that time.
 *
 * Not safe for use by several threads, except for [table], which any thread may read.
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
    private var lastRoundNumber = 0L
    private var confirmedAtMillis: Long? = null
    private var samples = PositionHistory.EMPTY
    private var primaryHistory = PositionHistory.EMPTY

    /** The number of targets that make a majority of the group. */
    public val majority: Int = targets.size / 2 + 1

    /** The highest term that is known to have a primary, or 0 when none is known. */
    public var term: Long = 0
        private set

    /** The primary of [term], or null when none is known. */
    public var primary: TargetId? = null
        private set

    /** The routing table after the last event. */
    @Volatile
    public var table: RoutingTable = buildTable()
        private set

    /** Begins a round. Its polls must be sent after this call. */
    public fun beginRound(nowMillis: Long): PollRound = PollRound(++lastRoundNumber, nowMillis)

    /** Records the answer of [target] to [round]. */
    public fun onStatus(round: PollRound, target: TargetId, status: TargetStatus, nowMillis: Long) {
        val state = state(target)
        round.answers[target] = status
        state.onReport(TargetReport(target, status, round.sentAtMillis, nowMillis), primaryHistory)
        if (status.isPrimaryInTerm) adoptTerm(status.fenceTerm, target)
        // A target follows a primary only after that primary was promoted in the term.
        status.following?.takeIf { it in states }?.let { adoptTerm(status.fenceTerm, it) }
        if (round.answers.size >= majority) {
            takeSample(round)
            minimumPositionRequests.answer(round)
        }
        table = buildTable()
    }

    /**
     * Records that [target] did not answer a poll that was sent at [sentAtMillis].
     *
     * @param newConnection whether the poll opened a connection of its own
     */
    public fun onFailure(target: TargetId, sentAtMillis: Long, newConnection: Boolean) {
        state(target).onFailure(sentAtMillis, newConnection)
        table = buildTable()
    }

    /** Records that [primary] is the primary of [term], as a peer or a completed failover reported. */
    public fun onTerm(term: Long, primary: TargetId) {
        state(primary)
        adoptTerm(term, primary)
        table = buildTable()
    }

    /** Records that the write at [position] was acknowledged. */
    public fun onAcknowledged(position: LogPosition, nowMillis: Long) {
        primaryHistory = primaryHistory.plus(nowMillis, position)
        table = buildTable()
    }

    /** Records that [target] had applied its log up to [applied] when it answered a position check. */
    public fun onApplied(target: TargetId, applied: LogPosition, nowMillis: Long) {
        state(target).lag.onApplied(applied, nowMillis, primaryHistory)
        table = buildTable()
    }

    /** Records that [target] had applied less than a read on it required. */
    public fun onReplicaBehind(target: TargetId) {
        state(target).lag.onReplicaBehind()
        table = buildTable()
    }

    /** Calls [onPosition] once with a position that covers every write acknowledged before this call. */
    public fun requestMinimumPosition(onPosition: (LogPosition) -> Unit) {
        minimumPositionRequests.add(firstRound = lastRoundNumber + 1, onPosition)
    }

    /** The last report of [target], or null before the first. */
    public fun report(target: TargetId): TargetReport? = state(target).report

    /** Whether [target] answers the polls of this host. */
    public fun reachability(target: TargetId): Reachability = state(target).reachability

    /** The estimated replay lag of [target]. */
    public fun lagMillis(target: TargetId): Double = state(target).lag.millis

    /** The last reports of all targets without a failed poll since their last answer. */
    public fun reachableReports(): List<TargetReport> =
        states.values.filter { it.reachability.failures == 0 }.mapNotNull { it.report }

    /** Whether a majority of the targets has no failed poll since its last answer. */
    public val reachesMajority: Boolean
        get() = reachableReports().size >= majority

    private fun state(target: TargetId): TargetState =
        requireNotNull(states[target]) { "database $database has no target $target" }

    private fun adoptTerm(newTerm: Long, newPrimary: TargetId) {
        if (newTerm <= term) return
        term = newTerm
        primary = newPrimary
    }

    private fun takeSample(round: PollRound) {
        val confirmingCount = round.answers.values.count { it.fenceTerm <= term }
        if (confirmingCount < majority) return
        confirmedAtMillis = maxOf(confirmedAtMillis ?: round.sentAtMillis, round.sentAtMillis)
        val primaryStatus = primary?.let { round.answers[it] } ?: return
        if (!primaryStatus.isPrimaryInTerm || primaryStatus.fenceTerm != term) return
        samples = samples.plus(round.sentAtMillis, primaryStatus.received)
        primaryHistory = primaryHistory.plus(round.sentAtMillis, primaryStatus.received)
    }

    private fun buildTable(): RoutingTable = RoutingTable(
        term = term,
        primary = primary?.let { state(it).primaryCandidate(term) },
        replicas = states.values.mapNotNull { it.replicaCandidate(term, primary) }.toTypedArray(),
        confirmedAtMillis = confirmedAtMillis,
        samples = samples,
        primaryHistory = primaryHistory,
        settings = settings,
    )
}
