package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import reactor.core.publisher.Mono

/**
 * One open connection that carries whole messages.
 *
 * All calls come on the connection's event loop thread, and the listener is called there.
 */
public interface MessageLink {
    public val allocator: ByteBufAllocator

    public val isOpen: Boolean

    /** False while the far end reads slower than this end writes. */
    public val isWritable: Boolean

    /** Sends [frame] and takes ownership of it. A closed link drops it. */
    public fun send(frame: ByteBuf)

    /** Starts to deliver frames to [listener], which then owns them. To be called once. */
    public fun receive(listener: MessageListener)

    /** Stops reading from the connection until [resumeReads]; at most the frames already read still come. */
    public fun pauseReads()

    public fun resumeReads()

    /** Completes when the connection has closed, whichever end closed it. */
    public fun onClose(): Mono<Void>

    /** Closes after all sent frames are written. Calling it again has no effect. */
    public fun close()

    /** Closes at once and drops what is not written yet, for a far end that does not read. */
    public fun abort()
}
