package dev.cardamomlane.engine.fleet

/** Sends datagrams to other hosts. They may be lost, doubled or late. */
public fun interface PeerNetwork {
    /** Sends [message] to [address], given as `ip:port`, without waiting. */
    public fun send(address: String, message: PeerMessage)
}
