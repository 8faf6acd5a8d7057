package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.capacity.WorkKind
import dev.cardamomlane.core.session.SessionPositions
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.target.ConnectionNeed
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.Target

/**
 * A queued statement, or the first statement of a transaction, that needs a connection to a target.
 *
 * @property id the caller's id of the statement, for logs
 * @property needsPrimary true when only the primary may run it
 * @property positions the session's own commits, which a read must see with
 *   [SESSION][dev.cardamomlane.engine.config.Consistency.SESSION] consistency
 * @property arrivedAtMillis when the operation's first statement arrived; the age that a read accepts counts from here
 * @property queuedAtMillis when this statement was first queued
 */
public class Work(
    public val id: String,
    public val route: Route,
    public val customerName: String,
    public val state: SessionState,
    public val needsPrimary: Boolean,
    public val positions: SessionPositions,
    public val arrivedAtMillis: Long,
    public val queuedAtMillis: Long,
    private val runner: WorkRunner,
) {
    internal val kind = WorkKind(route.name, isWrite = needsPrimary)

    /** Until when each target is left out, after an attempt on it failed or went without an answer for long. */
    internal val avoidedUntilMillis = HashMap<TargetId, Long>(2)
    internal var attemptCount = 0
    internal var connectionNeed = if (needsPrimary) ConnectionNeed.NO_ERROR else ConnectionNeed.ANY
    internal var dialedAtMillis = GroupRecords.NEVER

    /** True once the work needs no target any more. */
    public var isOver: Boolean = false
        private set

    /** Marks the work as over, so that the queue drops it. */
    public fun end() {
        isOver = true
    }

    internal fun run(target: Target, connection: PooledConnection, after: LogPosition?) {
        attemptCount++
        runner.run(this, target, connection, after)
    }

    internal fun refuse(code: ErrorCode, reason: String) {
        if (isOver) return
        isOver = true
        runner.refuse(this, code, reason)
    }

    /** Leaves [target] out until [untilMillis]. */
    internal fun avoid(target: Target, untilMillis: Long) {
        avoidedUntilMillis[target.entry.id] = untilMillis
    }

    internal fun avoids(target: Target, nowMillis: Long): Boolean =
        avoidedUntilMillis[target.entry.id]?.let { nowMillis < it } ?: false
}
