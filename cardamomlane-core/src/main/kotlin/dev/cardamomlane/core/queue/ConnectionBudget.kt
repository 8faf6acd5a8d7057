package dev.cardamomlane.core.queue

import kotlinx.collections.immutable.ImmutableList

/**
 * Decides over the scarce connections from this host to one target.
 *
 * A target takes a few dozen connections from the whole fleet, and opening one takes longer than most statements. The
 * budget is this host's share of them, a number that changes. It opens a connection only when waiting for one to come
 * free is expected to take longer, hands an idle one over at once, keeps those that were in use lately and closes the
 * surplus. Connections that are being opened count.
 *
 * Every function returns what to do, in order. Not safe for use by several threads.
 */
public interface ConnectionBudget {
    /** Connections that are open or being opened. */
    public val connectionCount: Int

    /** Connections that this host could use now, which the fleet may take into account when it shares them out. */
    public val wantedCount: Int

    /** Sets the most connections this host may have. Held connections above it are closed when they are released. */
    public fun setShare(count: Int, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Asks for a connection on behalf of [requestId]. */
    public fun request(requestId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Withdraws a request that has got no connection yet. Returns false when it does not wait. */
    public fun cancel(requestId: Long): Boolean

    /** The connection is open. */
    public fun opened(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** The holder has read its whole answer and needs the connection no longer. */
    public fun released(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** The connection could not be opened, or was closed, whether held, idle or being opened. */
    public fun lost(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction>

    /** Closes what was idle for long and opens what is due after a failure. Call it about once a second. */
    public fun poll(nowMillis: Long): ImmutableList<ConnectionAction>
}
