package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelOption
import kotlinx.collections.immutable.toImmutableMap
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink
import reactor.netty.Connection
import reactor.netty.resources.LoopResources
import reactor.netty.tcp.TcpClient
import java.io.IOException
import java.net.InetSocketAddress
import java.time.Duration

/**
 * Opens sessions over TCP with Reactor Netty.
 *
 * @param timeoutMillis the time limit of connecting and startup together, and of sending a cancel request
 * @param maxMessageBytes the largest message that the server may send, header included
 */
public class NettySessionOpener(
    private val loops: LoopResources,
    private val timeoutMillis: Int = 2_000,
    private val maxMessageBytes: Int = 256 shl 20,
) : SessionOpener {
    init {
        require(timeoutMillis > 0) { "timeoutMillis must be positive but was $timeoutMillis" }
    }

    override fun open(request: OpenRequest): Mono<OpenSession> = connect(request.address)
        .flatMap { connection -> startup(connection, request) }
        .timeout(Duration.ofMillis(timeoutMillis.toLong()))

    override fun cancel(address: InetSocketAddress, processId: Int, secretKey: Int): Mono<Void> = connect(address)
        .flatMap { connection ->
            val request = StartupMessage.writeCancel(connection.channel().alloc().buffer(), processId, secretKey)
            connection.outbound().sendObject(request).then().doFinally { connection.dispose() }
        }
        .timeout(Duration.ofMillis(timeoutMillis.toLong()))

    private fun connect(address: InetSocketAddress): Mono<out Connection> = TcpClient.newConnection()
        .runOn(loops)
        .remoteAddress { address }
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .connect()

    private fun startup(connection: Connection, request: OpenRequest): Mono<OpenSession> = Mono.create { sink ->
        connection.addHandlerLast(FrameDecoders.typed(maxMessageBytes))
        val link = NettyMessageLink(connection)
        val forwarder = OpenSession.ForwardingListener()
        forwarder.listener = StartupListener(link, forwarder, request, sink)
        sink.onCancel { connection.dispose() }
        link.receive(forwarder)
        val parameters = mapOf("user" to request.user, "database" to request.database) + request.parameters
        link.send(StartupMessage.writeSession(link.allocator.buffer(), parameters))
    }

    /** Authenticates, collects what the server reports and completes [sink] at the first ReadyForQuery. */
    private class StartupListener(
        private val link: MessageLink,
        private val forwarder: OpenSession.ForwardingListener,
        private val request: OpenRequest,
        private val sink: MonoSink<OpenSession>,
    ) : MessageListener {
        private val parameters = LinkedHashMap<String, String>()
        private var keyData = BackendMessage.BackendKeyData(processId = 0, secretKey = 0)

        override fun onFrame(frame: ByteBuf) {
            try {
                onMessage(BackendMessage.decode(frame))
            } catch (error: MalformedMessageException) {
                fail(error)
            } finally {
                frame.release()
            }
        }

        override fun onClosed(cause: Throwable?) {
            sink.error(cause ?: IOException("the server closed the connection during startup"))
        }

        private fun onMessage(message: BackendMessage) {
            when (message) {
                is BackendMessage.Authentication -> authenticate(message.code)
                is BackendMessage.ParameterStatus -> parameters[message.name] = message.value
                is BackendMessage.BackendKeyData -> keyData = message
                is BackendMessage.ErrorResponse -> fail(SessionRefusedException(message.error))
                is BackendMessage.ReadyForQuery -> finish()
                else -> Unit
            }
        }

        private fun authenticate(code: Int) {
            when (code) {
                AUTHENTICATED -> Unit
                CLEARTEXT_PASSWORD -> link.send(FrontendWriter.password(link.allocator.buffer(), request.password))
                else -> fail(MalformedMessageException("the server asks for unsupported authentication method $code"))
            }
        }

        private fun finish() {
            forwarder.listener = null
            sink.success(
                OpenSession(link, keyData.processId, keyData.secretKey, parameters.toImmutableMap(), forwarder),
            )
        }

        private fun fail(cause: Throwable) {
            forwarder.listener = null
            sink.error(cause)
            link.close()
        }
    }

    private companion object {
        const val AUTHENTICATED = 0
        const val CLEARTEXT_PASSWORD = 3
    }
}
