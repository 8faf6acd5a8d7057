package dev.cardamomlane.daemon.fleet

import io.micrometer.core.instrument.MeterRegistry

/** The metrics of the links between hosts: messages, bytes, dropped messages and refused handshakes. */
internal class PeerMeters(registry: MeterRegistry) {
    private val sentMessages = registry.counter("cardamomlane.peer.messages", "direction", "sent")
    private val receivedMessages = registry.counter("cardamomlane.peer.messages", "direction", "received")
    private val sentBytes = registry.counter("cardamomlane.peer.bytes", "direction", "sent")
    private val receivedBytes = registry.counter("cardamomlane.peer.bytes", "direction", "received")
    private val dropped = registry.counter("cardamomlane.peer.dropped")
    private val refused = registry.counter("cardamomlane.peer.handshakes.refused")

    fun onSent(bytes: Int) {
        sentMessages.increment()
        sentBytes.increment(bytes.toDouble())
    }

    fun onReceived(bytes: Int) {
        receivedMessages.increment()
        receivedBytes.increment(bytes.toDouble())
    }

    fun onDropped() = dropped.increment()

    fun onHandshakeRefused() = refused.increment()
}
