package dev.cardamomlane.engine.forward

/** Receives the events of one connection to another host, always on the event loop. */
public interface HostLinkListener {
    /** The connection is open. Not called for a connection that the other host opened. */
    public fun onOpened()

    /** A message arrived. */
    public fun onMessage(message: HostMessage)

    /** The connection ended or could not be opened. */
    public fun onClosed()
}
