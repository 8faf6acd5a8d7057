package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.queue.EstimatingConnectionBudget
import dev.cardamomlane.core.queue.FairSlotQueue
import dev.cardamomlane.core.queue.FixedLimit
import dev.cardamomlane.daemon.EventLoopTimerService
import dev.cardamomlane.daemon.MapGroupDirectory
import dev.cardamomlane.daemon.settings.CallerSettings
import dev.cardamomlane.daemon.target.ControlConnectionProbe
import dev.cardamomlane.daemon.target.TargetDispatcher
import dev.cardamomlane.daemon.target.TargetPool
import dev.cardamomlane.wire.NettySessionOpener
import dev.cardamomlane.wire.OpenRequest
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.EventLoop
import io.opentelemetry.api.OpenTelemetry
import reactor.netty.DisposableServer
import reactor.netty.resources.LoopResources
import java.net.InetSocketAddress
import java.sql.Connection
import java.sql.DriverManager

/** The data path of a daemon, from its caller port to two fake targets, with a fake fleet gate and a fake group. */
internal class DataPathFixture(one: FakeTarget, two: FakeTarget, startDeadlineMillis: Int = 2_000) : AutoCloseable {
    val gate = FakeGate()
    val group = FakeGroup()
    private val loops = LoopResources.create("test", 1, 1, true)
    private val timers = EventLoopTimerService(loops.onServer(true).next() as EventLoop)
    private val opener = NettySessionOpener(loops)
    private val requests = mapOf(FakeGroup.ONE to one, FakeGroup.TWO to two)
        .mapValues { (_, target) -> OpenRequest(target.address, "cardamomlane", "secret", "orders-1") }
    private val dispatchers = requests.mapValues { (name, request) -> createDispatcher(name, request) }
    private val settings = CallerSettings(
        allowPlaintextKeys = true,
        tlsCertificateFile = null,
        tlsKeyFile = null,
        maxConnections = 100,
        maxMessageBytes = 1 shl 20,
        startDeadlineMillis = startDeadlineMillis,
        confirmTimeoutMillis = 1_000,
        stallTimeoutMillis = 30_000,
        drainMillis = 1_000,
    )
    private val services = CallerServices(
        host = HostId("host-1"),
        settings = settings,
        timers = timers,
        gate = gate,
        groups = MapGroupDirectory(listOf(group)),
        dispatchers = dispatchers,
        probe = ControlConnectionProbe(opener, requests),
        meters = CallerMeters(SimpleMeterRegistry()),
        tracer = OpenTelemetry.noop().getTracer("test"),
    )
    private val callerConnections = CallerConnections(
        host = HostId("host-1"),
        serverParameters = ServerParameters(opener, mapOf(group.database to requests.values.toList())),
        forwardCancel = { _, _ -> },
    )
    private val server: DisposableServer = checkNotNull(
        CallerServer(InetSocketAddress("127.0.0.1", 0), loops, tls = null, services, callerConnections).bind().block(),
    )

    /** @param position the position that the caller gives at startup, or null */
    fun connect(
        user: String = "press",
        key: String = "key-1",
        database: String = "orders-1",
        position: String? = null,
    ): Connection {
        val port = (server.address() as InetSocketAddress).port
        val given = position?.let { "&options=-c%20${CallerSession.POSITION_PARAMETER}=$it" }.orEmpty()
        val options = "sslmode=disable&preferQueryMode=simple&assumeMinServerVersion=15$given"
        return DriverManager.getConnection("jdbc:postgresql://127.0.0.1:$port/$database?$options", user, key)
    }

    override fun close() {
        server.disposeNow()
        loops.dispose()
    }

    private fun createDispatcher(name: TargetId, request: OpenRequest) = TargetDispatcher(
        target = name,
        timers = timers,
        queue = FairSlotQueue(FixedLimit(5)),
        pool = TargetPool(name, request, opener, timers, EstimatingConnectionBudget(share = 4)),
    )
}
