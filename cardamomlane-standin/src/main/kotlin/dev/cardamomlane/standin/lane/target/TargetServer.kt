package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.line.Line
import dev.cardamomlane.standin.lane.line.LineDecoder
import dev.cardamomlane.standin.lane.wire.PlatformWords
import dev.cardamomlane.standin.settings.SocketAddress
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.tinylog.kotlin.Logger
import java.io.IOException

/**
 * The socket of one target. A connection whose first line is a health probe over HTTP is answered as one.
 *
 * All connections are handled on the one loop of [loops], which also owns [target].
 */
internal class TargetServer(val target: LaneTarget, val address: SocketAddress, private val loops: EventLoopGroup) {
    private var listener: Channel? = null

    /** Starts the target. Must be called on the loop; the socket accepts connections soon after. */
    fun start() {
        target.address = address.toString()
        target.start()
        val bootstrap = ServerBootstrap().group(loops).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(Handler())
                    }
                },
            )
        val bound = bootstrap.bind(address.host, address.port)
        listener = bound.channel()
        bound.addListener { if (!it.isSuccess) Logger.error(it.cause(), "target {} can't listen", target.name) }
    }

    /** Ends the target at once: its port refuses connections and open ones are closed. Must be called on the loop. */
    fun crash() {
        listener?.close()
        target.crash()
    }

    /** Ends the target after a drain. Must be called on the loop. */
    fun leave() {
        listener?.close()
        target.leave()
    }

    private inner class Handler : SimpleChannelInboundHandler<ByteBuf>() {
        private val decoder = LineDecoder()
        private var session: TargetSession? = null
        private var isProbe = false

        override fun channelRead0(context: ChannelHandlerContext, bytes: ByteBuf) {
            while (bytes.isReadable) decoder.add(bytes.readByte())?.let { onLine(context, it) }
        }

        private fun onLine(context: ChannelHandlerContext, line: String) {
            if (session == null && line.startsWith("GET ")) isProbe = true
            if (!isProbe) {
                session(context.channel()).receive(line)
            } else if (line.isEmpty()) {
                answerProbe(context)
            }
        }

        private fun session(channel: Channel): TargetSession =
            session ?: TargetSession(target, ChannelOutput(channel)).also { session = it }

        private fun answerProbe(context: ChannelHandlerContext) {
            val status = if (target.isDraining) "503 Service Unavailable" else "200 OK"
            val head = "HTTP/1.1 $status\r\n${PlatformWords.INSTANCE_HEADER}: ${target.name}\r\n" +
                "Content-Length: 0\r\nConnection: close\r\n\r\n"
            context.writeAndFlush(Unpooled.copiedBuffer(head, Charsets.ISO_8859_1))
                .addListener(ChannelFutureListener.CLOSE)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            session?.close()
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            if (cause !is IOException) Logger.error(cause, "target {}: connection failed", target.name)
            context.close()
        }
    }

    private class ChannelOutput(private val channel: Channel) : SessionOutput {
        override fun write(text: String) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(Line.bytes(text)))
        }

        override fun close() {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        }
    }
}
