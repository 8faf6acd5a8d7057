package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrameDecoders
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.StartupMessage
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.reactivestreams.Publisher
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.Connection
import reactor.netty.NettyInbound
import reactor.netty.NettyOutbound
import java.time.Duration

/** The connection of one client, from its startup message to its close. Handles one message group at a time. */
internal class ClientConnection(
    private val server: TargetServer,
    private val inbound: NettyInbound,
    private val outbound: NettyOutbound,
) {
    private val groups = MessageGroup.Collector()
    private val faults = server.target.faults
    private lateinit var connection: Connection
    private var settings: SessionSettings? = null
    private var session: Session? = null

    /** Serves the client. Completes when either side closes the connection. */
    fun run(): Publisher<Void> {
        inbound.withConnection { connection = it }
        return inbound.receive()
            .handle<Mono<ByteBuf>> { frame, sink -> decode(frame)?.let(sink::next) }
            .concatMap(::serve, 1)
            .onErrorResume { error -> closeAfterError(error) }
            .then()
    }

    /** Decodes [frame] at once, because it is released on return. Returns the work to do, or null to wait for more. */
    private fun decode(frame: ByteBuf): Mono<ByteBuf>? {
        val current = session
        return when {
            settings == null -> startup(StartupMessage.decode(frame))
            current == null -> {
                val message = FrontendMessage.decode(frame)
                Mono.defer { authenticate(message) }
            }
            else -> groups.add(FrontendMessage.decode(frame))?.let { group -> Mono.defer { runGroup(current, group) } }
        }
    }

    private fun serve(work: Mono<ByteBuf>): Publisher<Void> = faults.awaitCallersHealed()
        .then(work)
        .flatMap { answer -> faults.awaitCallersHealed().then(send(answer)) }

    private fun send(answer: ByteBuf): Mono<Void> {
        if (session?.silent == true || !answer.isReadable) return Mono.empty()
        return outbound.sendObject(answer).then()
    }

    private fun startup(message: StartupMessage): Mono<ByteBuf> = when (message) {
        StartupMessage.TlsRequest, StartupMessage.GssRequest -> Mono.just(Unpooled.buffer(1).writeByte('N'.code))
        is StartupMessage.Cancel -> Mono.defer {
            server.cancel(CancelKey(message.processId, message.secretKey))
            close()
        }
        is StartupMessage.Unsupported ->
            refuse(ServerError("08P01", "unsupported protocol ${message.major}.${message.minor}", severity = FATAL))
        is StartupMessage.Session -> {
            settings = SessionSettings(message.parameters)
            connection.channel().pipeline()
                .replace(TargetServer.FRAME_DECODER, TargetServer.FRAME_DECODER, FrameDecoders.typed(MAX_MESSAGE_BYTES))
            if (message.parameters["database"] == server.target.group.settings.name) {
                Mono.fromCallable { BackendWriter.cleartextPassword(Unpooled.buffer()) }
            } else {
                refuse(ErrorMapping.refused("3D000", "database \"${message.parameters["database"]}\" does not exist"))
            }
        }
    }

    private fun authenticate(message: FrontendMessage): Mono<ByteBuf> {
        val expected = server.target.group.settings.password
        if (message !is FrontendMessage.Password || (expected != null && message.text != expected)) {
            return refuse(ErrorMapping.refused("28P01", "password authentication failed"))
        }
        return Mono.delay(Duration.ofMillis(server.target.group.settings.connectMillis)).then(Mono.fromCallable(::open))
            .onErrorResume(SqlFailure::class.java) { refuse(it.error) }
    }

    private fun open(): ByteBuf {
        val opened = server.open(checkNotNull(settings)) { connection.dispose() }
        val key = server.register(opened)
        session = opened
        connection.onDispose {
            server.unregister(key)
            opened.end()
        }
        val out = BackendWriter.authenticationOk(Unpooled.buffer())
        opened.settings.reported.forEach { (name, value) -> BackendWriter.parameterStatus(out, name, value) }
        BackendWriter.backendKeyData(out, key.processId, key.secretKey)
        return BackendWriter.readyForQuery(out, TransactionStatus.IDLE)
    }

    private fun runGroup(session: Session, group: MessageGroup): Mono<ByteBuf> = when {
        session.silent -> Mono.empty()
        group == MessageGroup.Terminate -> close()
        else -> Mono.fromFuture(session.run(group), true)
    }

    private fun refuse(error: ServerError): Mono<ByteBuf> = Mono.defer {
        val answer = BackendWriter.error(Unpooled.buffer(), error.copy(severity = FATAL))
        outbound.sendObject(answer).then().then(close())
    }

    private fun close(): Mono<ByteBuf> = Mono.fromRunnable { connection.dispose() }

    private fun closeAfterError(error: Throwable): Publisher<Void> {
        val cause = error.cause ?: error
        if (cause is AnswerLostException) Logger.info("target: {} drops an answer as injected", server.target.name)
        connection.dispose()
        return Flux.empty()
    }

    private companion object {
        const val FATAL = "FATAL"
        const val MAX_MESSAGE_BYTES = 64 * 1024 * 1024
    }
}
