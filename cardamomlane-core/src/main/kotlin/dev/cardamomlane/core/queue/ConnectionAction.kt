package dev.cardamomlane.core.queue

/** What a [ConnectionBudget] asks of the connections to one target. */
public sealed interface ConnectionAction {
    /** Open a connection under the name [connectionId]; report [ConnectionBudget.opened] or [ConnectionBudget.lost]. */
    public data class Open(val connectionId: Long) : ConnectionAction

    /** Give the connection to the request, which holds it until [ConnectionBudget.released]. */
    public data class HandOver(val connectionId: Long, val requestId: Long) : ConnectionAction

    /** Close the connection, which nobody holds and which counts no longer. */
    public data class Close(val connectionId: Long) : ConnectionAction
}
