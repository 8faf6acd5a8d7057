package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import org.reactivestreams.Subscription
import org.tinylog.kotlin.Logger
import reactor.core.publisher.BaseSubscriber
import reactor.core.publisher.Mono
import reactor.netty.Connection

/** A [MessageLink] over a Reactor Netty connection whose pipeline already splits the byte stream into frames. */
public class NettyMessageLink(private val connection: Connection) : MessageLink {
    private val channel = connection.channel()
    private val reader = Reader()

    override val allocator: ByteBufAllocator get() = channel.alloc()

    override val isOpen: Boolean get() = channel.isActive

    override val isWritable: Boolean get() = channel.isWritable

    override fun send(frame: ByteBuf) {
        channel.writeAndFlush(frame, channel.voidPromise())
    }

    override fun receive(listener: MessageListener) {
        check(reader.listener == null) { "receive was already called" }
        reader.listener = listener
        connection.addHandlerLast(WritabilityHandler(listener))
        connection.inbound().receive().retain().subscribe(reader)
    }

    override fun pauseReads() {
        reader.paused = true
    }

    override fun resumeReads() {
        if (!reader.paused) return
        reader.paused = false
        reader.request(1)
    }

    override fun onClose(): Mono<Void> = connection.onDispose()

    override fun close() {
        if (!channel.isActive) return
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    override fun abort() {
        channel.close()
    }

    private inner class Reader : BaseSubscriber<ByteBuf>() {
        var listener: MessageListener? = null
        var paused = false
        private var closeUnreported = true

        override fun hookOnSubscribe(subscription: Subscription) {
            if (!paused) subscription.request(1)
        }

        override fun hookOnNext(value: ByteBuf) {
            try {
                listener?.onFrame(value)
            } catch (error: Throwable) {
                // Not left to Reactor, which stops reading without closing, and reports no error of the virtual machine.
                Logger.error(error, "link: Handling a message from {} failed.", channel.remoteAddress())
                cancel()
                closed(error)
                return
            }
            if (!paused) request(1)
        }

        override fun hookOnComplete() = closed(null)

        override fun hookOnError(throwable: Throwable) = closed(throwable)

        private fun closed(cause: Throwable?) {
            if (!closeUnreported) return
            closeUnreported = false
            try {
                listener?.onClosed(cause)
            } finally {
                // The listener may have sent an error, which an end that does not read would hold up.
                if (channel.isWritable) close() else abort()
            }
        }
    }

    private class WritabilityHandler(private val listener: MessageListener) : ChannelInboundHandlerAdapter() {
        override fun channelWritabilityChanged(context: ChannelHandlerContext) {
            if (context.channel().isWritable) listener.onWritable()
            context.fireChannelWritabilityChanged()
        }
    }
}
