package dev.cardamomlane.core.queue

/** What the caller of a [ConnectionBudget] must do with a connection to its target. */
public sealed interface ConnectionAction {
    /** Open connection [connectionId], then call [ConnectionBudget.opened] or [ConnectionBudget.lost]. */
    public data class Open(val connectionId: Long) : ConnectionAction

    /** Assign the connection to the request, which holds it until [ConnectionBudget.released]. */
    public data class Assign(val connectionId: Long, val requestId: Long) : ConnectionAction

    /** Close the connection. No request holds it, and it no longer counts as open. */
    public data class Close(val connectionId: Long) : ConnectionAction
}
