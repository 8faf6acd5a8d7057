package dev.cardamomlane.engine.forward

/** Opens connections to other hosts. */
public fun interface HostDialer {
    /** Starts to open a connection to [address], given as `ip:port`, and returns at once. */
    public fun dial(address: String, listener: HostLinkListener): HostLink
}
