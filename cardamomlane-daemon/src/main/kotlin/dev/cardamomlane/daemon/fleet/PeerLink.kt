package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.store.RateLimitedLog
import dev.cardamomlane.wire.peer.PeerCodec
import dev.cardamomlane.wire.peer.PeerHandshake
import dev.cardamomlane.wire.peer.PeerMessage
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/**
 * One connection to another host. Messages to send wait in a bounded queue and are dropped when it is full, which all
 * protocols between hosts tolerate.
 */
internal class PeerLink(
    private val handshake: PeerHandshake,
    private val meters: PeerMeters,
    private val nowMillis: () -> Long,
    private val log: RateLimitedLog,
) {
    private val outgoing = Channel<PeerMessage>(QUEUE_LENGTH)

    @Volatile
    private var unansweredSinceMillis: Long? = null

    @Volatile
    private var socket: Socket? = null

    /** Queues [message], or drops it when the queue is full. Does not block. */
    fun offer(message: PeerMessage) {
        if (message is PeerMessage.Question && unansweredSinceMillis == null) unansweredSinceMillis = nowMillis()
        if (!outgoing.trySend(message).isSuccess) meters.onDropped()
    }

    /**
     * Whether a question was queued at least [millis] ago and nothing has arrived since. Something on the way has then
     * lost the connection.
     */
    fun isSilentFor(millis: Long): Boolean = unansweredSinceMillis.let { it != null && nowMillis() - it >= millis }

    /**
     * Authenticates the other side, then exchanges messages until the connection ends. Closes [opened] at the end.
     *
     * @param onOpen called once with the authenticated member; not called when the handshake fails or takes too long
     */
    suspend fun run(opened: Socket, onOpen: (MemberId) -> Unit, listener: PeerListener) {
        socket = opened
        opened.use {
            val input = opened.openReadChannel()
            val output = opened.openWriteChannel(autoFlush = false)
            val other = withTimeoutOrNull(HANDSHAKE_TIMEOUT_MILLIS) { authenticate(input, output) }
            if (other == null) return meters.onHandshakeRefused()
            onOpen(other)
            exchange(other, input, output, listener)
        }
    }

    fun close() {
        outgoing.close()
        socket?.close()
    }

    private suspend fun exchange(
        other: MemberId,
        input: ByteReadChannel,
        output: ByteWriteChannel,
        listener: PeerListener,
    ) = coroutineScope {
        val writer = launch { for (message in outgoing) write(output, message) }
        try {
            while (true) {
                val message = read(input, PeerCodec.MAX_MESSAGE_BYTES)
                unansweredSinceMillis = null
                if (message == null) {
                    log.warn("fleet: a message of $other is left out", "it is none that this version knows")
                } else {
                    deliver(other, message, listener)
                }
            }
        } finally {
            writer.cancel()
        }
    }

    /** A message that can't be handled, for example because a value is out of range, loses only itself. */
    private fun deliver(other: MemberId, message: PeerMessage, listener: PeerListener) {
        try {
            listener.onMessage(other, message)
        } catch (e: IllegalArgumentException) {
            log.warn("fleet: a ${message.javaClass.simpleName} of $other is left out", e.message.orEmpty())
        } catch (e: Throwable) {
            log.error("fleet: handling a ${message.javaClass.simpleName} of $other", e)
        }
    }

    private suspend fun authenticate(input: ByteReadChannel, output: ByteWriteChannel): MemberId? {
        write(output, handshake.hello())
        val hello = read(input, PeerCodec.MAX_HELLO_BYTES) as? PeerMessage.Hello ?: return null
        val other = handshake.claimed(hello) ?: return null
        write(output, handshake.proof(hello))
        val proof = read(input, PeerCodec.MAX_HELLO_BYTES) as? PeerMessage.Proof ?: return null
        return other.takeIf { handshake.accepts(hello, proof) }
    }

    private suspend fun write(output: ByteWriteChannel, message: PeerMessage) {
        val bytes = PeerCodec.encode(message)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
        output.flush()
        meters.onSent(bytes.size + PeerCodec.LENGTH_BYTES)
    }

    /** Reads one message. Returns null for a message that this version does not know. */
    private suspend fun read(input: ByteReadChannel, maxBytes: Int): PeerMessage? {
        val length = input.readInt()
        if (length !in 0..maxBytes) throw IOException("peer message of $length bytes exceeds $maxBytes")
        val bytes = input.readByteArray(length)
        meters.onReceived(length + PeerCodec.LENGTH_BYTES)
        return PeerCodec.decode(bytes)
    }

    private companion object {
        const val QUEUE_LENGTH = 128
        const val HANDSHAKE_TIMEOUT_MILLIS = 2_000L
    }
}
