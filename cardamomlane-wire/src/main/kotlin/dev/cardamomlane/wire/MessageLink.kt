package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import reactor.core.publisher.Mono

/**
 * One open connection that carries whole messages.
 *
 * Its functions must be called on the event loop thread of the connection, and the listener is called there.
 */
public interface MessageLink {
    public val allocator: ByteBufAllocator

    public val isOpen: Boolean

    /** False while too much sent data is still buffered here because the other end reads too slowly. */
    public val isWritable: Boolean

    /** Sends [frame] and takes ownership of it. A closed link releases it unsent. */
    public fun send(frame: ByteBuf)

    /** Starts to deliver frames to [listener], which then owns them. Must be called only once. */
    public fun receive(listener: MessageListener)

    /** Stops reading from the connection until [resumeReads]. Frames that were already read may still be delivered. */
    public fun pauseReads()

    public fun resumeReads()

    /** Completes when either end has closed the connection. */
    public fun onClose(): Mono<Void>

    /** Closes after all sent frames are written. Calling it again has no effect. */
    public fun close()

    /** Closes at once and drops all unsent data. Meant for an end that does not read: [close] would wait for it. */
    public fun abort()
}
