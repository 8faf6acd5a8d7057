package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.wire.peer.PeerMessage

/** Receives the messages of authenticated members. Called on the threads of the links. */
internal fun interface PeerListener {
    fun onMessage(from: MemberId, message: PeerMessage)
}
