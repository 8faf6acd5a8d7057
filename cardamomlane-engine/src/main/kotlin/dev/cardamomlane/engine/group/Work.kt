package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.target.PooledConnection
import dev.cardamomlane.engine.target.Target

/**
 * A statement, or the first statement of a transaction, that waits for a target.
 *
 * @property id the caller's id of the statement, for logs
 * @property needsPrimary true when only the primary may run it
 * @property ownPosition the session's last commit, which a read must see when the route says so
 * @property arrivedAtMillis when the operation's first statement arrived; a read's age bound counts from here
 * @property queuedAtMillis when this statement arrived
 */
public class Work(
    public val id: String,
    public val route: Route,
    public val customerName: String,
    public val state: SessionState,
    public val needsPrimary: Boolean,
    public val ownPosition: LogPosition?,
    public val arrivedAtMillis: Long,
    public val queuedAtMillis: Long,
    private val runner: WorkRunner,
) {
    /** Until when each target is left out, after it said that it could not run this. */
    internal val avoidedUntilMillis = HashMap<TargetId, Long>(2)
    internal var attemptCount = 0
    internal var dialedAtMillis = GroupRecords.NEVER

    /** True once the work needs no target any more. */
    public var isOver: Boolean = false
        private set

    /** Ends the work; a queued one is dropped. */
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

    /** Leaves [target] out for [millis]. */
    internal fun avoid(target: Target, untilMillis: Long) {
        avoidedUntilMillis[target.entry.id] = untilMillis
    }

    internal fun avoids(target: Target, nowMillis: Long): Boolean =
        avoidedUntilMillis[target.entry.id]?.let { nowMillis < it } ?: false
}
