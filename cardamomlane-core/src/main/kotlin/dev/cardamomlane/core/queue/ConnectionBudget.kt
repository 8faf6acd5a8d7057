package dev.cardamomlane.core.queue

import kotlinx.collections.immutable.ImmutableList

/**
 * Decides when to open, assign and close the connections from this host to one target.
 *
 * A target accepts a few dozen connections from the whole fleet, and opening one takes longer than most statements.
 * This host may have a share of them, a number that changes. The budget opens a connection only when waiting for a held
 * one to be released is expected to take longer, assigns an idle one at once, keeps recently used ones open and
 * closes the surplus. Connections that are being opened count towards the share.
 *
 * The caller carries out the returned actions in order. Not safe for use by several threads.
 */
public interface ConnectionBudget {
    /** The number of connections that are open or being opened. */
    public val connectionCount: Int

    /** How many connections this host could use now, which the fleet may consider when it sets the shares. */
    public val wantedCount: Int

    /** Sets how many connections this host may have. Held connections above it are closed when they are released. */
    public fun setShare(count: Int, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Requests a connection for [requestId]. */
    public fun request(requestId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Withdraws a request that has no connection yet. Returns false when it is not waiting. */
    public fun cancel(requestId: Long): Boolean

    /** Records that the connection is open. */
    public fun opened(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Records that the holder has read its whole answer and no longer needs the connection. */
    public fun released(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Records that the connection could not be opened, or was closed while it was held, idle or being opened. */
    public fun lost(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /**
     * Closes connections that were idle for too long, and opens those that a failure had delayed. Call it about once a
     * second.
     */
    public fun poll(nowMillis: Long): ImmutableList<ConnectionAction>
}
