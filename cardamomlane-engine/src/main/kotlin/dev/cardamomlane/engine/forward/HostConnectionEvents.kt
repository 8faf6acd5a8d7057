package dev.cardamomlane.engine.forward

/** Receives the events of a [HostConnection]. */
internal interface HostConnectionEvents {
    /** The member takes no new operations; those under way go on. */
    fun onLeaving(connection: HostConnection)

    /** The member has not answered for a while. */
    fun onSilent(connection: HostConnection)

    /** The connection has ended. */
    fun onEnded(connection: HostConnection)
}
