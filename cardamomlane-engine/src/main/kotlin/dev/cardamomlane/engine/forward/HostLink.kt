package dev.cardamomlane.engine.forward

/** A connection to another host, possibly still being opened. Messages arrive whole and in order, or not at all. */
public interface HostLink {
    /** Sends [message] without blocking. What is sent before the connection is open is sent once it is. */
    public fun send(message: HostMessage)

    /** True while a part of what was sent is not with the operating system, so that an end of the process would drop it. */
    public val hasUnwritten: Boolean

    /** Closes the connection at once; the listener is not called again. */
    public fun close()
}
