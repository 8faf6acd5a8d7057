package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrameDecoders
import dev.cardamomlane.wire.NettyMessageLink
import dev.cardamomlane.wire.StartupFrameDecoder
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelOption
import io.netty.handler.ssl.SslContext
import reactor.core.publisher.Mono
import reactor.netty.Connection
import reactor.netty.DisposableServer
import reactor.netty.resources.LoopResources
import reactor.netty.tcp.TcpServer
import java.net.InetSocketAddress

/** Accepts caller connections. Those above `maxConnections` get an error and are closed. */
internal class CallerServer(
    private val address: InetSocketAddress,
    private val loops: LoopResources,
    private val tls: SslContext?,
    private val services: CallerServices,
    private val callerConnections: CallerConnections,
) {
    /** Listens on [address]. Disposing of the result closes the listening socket but no accepted connection. */
    fun bind(): Mono<out DisposableServer> = TcpServer.create()
        .runOn(loops)
        .bindAddress { address }
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .doOnConnection { accept(it) }
        .bind()

    private fun accept(connection: Connection) {
        val link = NettyMessageLink(connection)
        if (callerConnections.connectionCount >= services.settings.maxConnections) {
            link.send(BackendWriter.error(link.allocator.buffer(), Refusals.tooManyConnections()))
            return link.close()
        }
        connection.addHandlerLast(FRAMES, FrameDecoders.startup())
        val startup = CallerStartup(link, Transport(connection), services, callerConnections)
        callerConnections.onOpened(startup)
        link.receive(startup)
    }

    private inner class Transport(private val connection: Connection) : CallerTransport {
        override val offersTls: Boolean get() = tls != null

        override val hasUnreadBytes: Boolean
            get() = connection.channel().pipeline().get(StartupFrameDecoder::class.java)?.hasBufferedBytes == true

        override fun startTls() {
            val channel = connection.channel()
            val handler = checkNotNull(tls) { "TLS is not configured" }.newHandler(channel.alloc())
            channel.writeAndFlush(Unpooled.wrappedBuffer(byteArrayOf('S'.code.toByte()))).addListener {
                channel.pipeline().addFirst(handler)
            }
        }

        override fun switchToTypedMessages(maxBytes: Int) {
            connection.channel().pipeline().replace(FRAMES, FRAMES, FrameDecoders.typed(maxBytes))
        }
    }

    private companion object {
        const val FRAMES = "cardamomlane.frames"
        const val BACKLOG = 1_024
    }
}
