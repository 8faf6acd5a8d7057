package dev.cardamomlane.engine.fleet

/** Sends datagrams to other hosts. They may be lost, duplicated, delayed or reordered. */
public fun interface PeerNetwork {
    /** Sends [message] to [address], given as `ip:port`, without blocking. */
    public fun send(address: String, message: PeerMessage)
}
