package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.settings.SocketAddress
import dev.cardamomlane.standin.target.Target
import dev.cardamomlane.wire.FrameDecoders
import org.tinylog.kotlin.Logger
import reactor.netty.DisposableServer
import reactor.netty.tcp.TcpServer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Accepts the clients of one target. While the target is crashed, its address refuses connections. */
internal class TargetServer(val target: Target, private val slotlessExecutor: Executor, private val random: Random) :
    AutoCloseable {
    private val cancelKeys = ConcurrentHashMap<CancelKey, Session>()
    private val nextProcessId = AtomicInteger()

    @Volatile
    private var server: DisposableServer? = null

    /** The address that clients connect to. A port of 0 in the settings is replaced by the bound port at [start]. */
    @Volatile
    var address: SocketAddress = SocketAddress.parse(target.settings.address)
        private set

    fun start() {
        val bound = TcpServer.create().host(address.host).port(address.port)
            .doOnChannelInit { _, channel, _ -> channel.pipeline().addFirst(FRAME_DECODER, FrameDecoders.startup()) }
            .handle { inbound, outbound -> ClientConnection(this, inbound, outbound).run() }
            .bindNow()
        server = bound
        address = address.copy(port = bound.port())
    }

    /** Simulates a crash: closes the connections of the target and refuses new ones until [restart]. */
    fun crash() {
        server?.disposeNow()
        server = null
        target.crash()
        Logger.info("target: {} crashed", target.name)
    }

    /** Restarts a crashed target. Crashes it first if it is running. */
    fun restart() {
        if (server != null) crash()
        target.restart()
        start()
        Logger.info("target: {} restarted", target.name)
    }

    /** Opens a session. Throws [SqlFailure] if the target is starting up or its connection limit is reached. */
    fun open(settings: SessionSettings, close: () -> Unit): Session {
        val control = settings["application_name"] == CONTROL_APPLICATION
        val session = Session(target, settings, control, slotlessExecutor, close)
        target.sessions += session
        refusal(control)?.let { refusal ->
            session.end()
            throw refusal
        }
        return session
    }

    private fun refusal(control: Boolean): SqlFailure? {
        val limit = if (control) CONTROL_CONNECTIONS else target.settings.connections
        return when {
            target.rebuilding || target.faults.crashed ->
                SqlFailure(ErrorMapping.refused("57P03", "the target is starting up"))
            target.sessions.count { it.isControl == control } > limit ->
                SqlFailure(ErrorMapping.refused("53300", "sorry, too many clients already"))
            else -> null
        }
    }

    fun register(session: Session): CancelKey {
        val key = CancelKey(nextProcessId.incrementAndGet(), random.nextInt())
        cancelKeys[key] = session
        session.processId = key.processId
        return key
    }

    fun unregister(key: CancelKey) {
        cancelKeys.remove(key)
    }

    fun cancel(key: CancelKey) {
        cancelKeys[key]?.cancel()
    }

    override fun close() {
        server?.disposeNow()
    }

    companion object {
        const val FRAME_DECODER = "cardamomlane.frames"
        private const val CONTROL_APPLICATION = "cardamomlane-control"

        /** Limit of control connections, apart from the limit of other connections. */
        private const val CONTROL_CONNECTIONS = 16
    }
}
