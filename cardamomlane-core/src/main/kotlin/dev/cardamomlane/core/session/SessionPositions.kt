package dev.cardamomlane.core.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What a session remembers of its own commits: for each log, the highest position at which one was acknowledged to it.
 *
 * Only an acknowledged commit of a write raises a position, and only that of the log that holds the commit; see [after]. A
 * session that begins where its earlier commits are not known may start from a position that covers them. Nothing lowers or
 * drops one: not a transaction without writes, not a promotion, not a log that was restored or that the
 * session leaves and returns to. So a log that has the position, or a primary that leads the log, holds every commit of
 * the session that no promotion rolled back.
 *
 * A position that its log does not reach any more, after a rollback or a restore, makes reads go to the primary. It never
 * makes them fail.
 *
 * Immutable.
 */
public class SessionPositions private constructor(private val highest: PersistentMap<DatabaseId, LogPosition>) {
    /** The newest commit in each log that the session has committed to. */
    public val commits: List<LogCommit> get() = highest.map { (log, position) -> LogCommit(log, position) }

    /** The position of the newest commit in [log], or null when there is none. */
    public fun of(log: DatabaseId): LogPosition? = highest[log]

    /** Returns what the session remembers once [commit] has been acknowledged to it. */
    public fun after(commit: LogCommit): SessionPositions {
        val known = highest[commit.log]
        if (known != null && known >= commit.position) return this
        return SessionPositions(highest.put(commit.log, commit.position))
    }

    /**
     * The position that a target must have applied to serve a read of [log] which must show the session's own commits, or
     * null if none is known that suffices. The primary may always serve the read, whatever its position.
     *
     * @param covering a position of [log] that covers what the read must show of other sessions' commits, or null when none
     *   is known
     * @param newest the newest known position of the primary of [log], or null when none is known
     */
    public fun required(log: DatabaseId, covering: LogPosition?, newest: LogPosition?): LogPosition? {
        if (covering == null || newest == null) return null
        val own = highest[log] ?: return covering
        return when {
            own == LogPosition.END -> null
            // A promotion may have rolled back a part of the older term, which the newer term never reaches.
            own.term < newest.term -> maxOf(newest, covering)
            else -> maxOf(own, covering)
        }
    }

    override fun equals(other: Any?): Boolean = other is SessionPositions && other.highest == highest

    override fun hashCode(): Int = highest.hashCode()

    override fun toString(): String = highest.toString()

    public companion object {
        /** A session without commits. */
        public val NONE: SessionPositions = SessionPositions(persistentMapOf())

        /** What a session with [commits] remembers. */
        public fun of(commits: Iterable<LogCommit>): SessionPositions = commits.fold(NONE, SessionPositions::after)
    }
}
