package dev.cardamomlane.daemon

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.fleet.FleetTimings
import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.core.queue.RealConnectionBudget
import dev.cardamomlane.core.queue.RealSlotQueue
import dev.cardamomlane.daemon.admin.AdminServer
import dev.cardamomlane.daemon.admin.GroupReport
import dev.cardamomlane.daemon.admin.StatusReport
import dev.cardamomlane.daemon.caller.CallerDesk
import dev.cardamomlane.daemon.caller.CallerMeters
import dev.cardamomlane.daemon.caller.CallerServer
import dev.cardamomlane.daemon.caller.CallerServices
import dev.cardamomlane.daemon.caller.CancelKeys
import dev.cardamomlane.daemon.caller.ServerParameters
import dev.cardamomlane.daemon.fleet.RealFleet
import dev.cardamomlane.daemon.group.FleetCourier
import dev.cardamomlane.daemon.group.GroupFactory
import dev.cardamomlane.daemon.group.RealDatabaseGroup
import dev.cardamomlane.daemon.group.SqlTargetControl
import dev.cardamomlane.daemon.settings.CallerSettings
import dev.cardamomlane.daemon.settings.DatabaseSettings
import dev.cardamomlane.daemon.settings.Settings
import dev.cardamomlane.daemon.settings.TargetSettings
import dev.cardamomlane.daemon.target.RealTargetProbe
import dev.cardamomlane.daemon.target.TargetLane
import dev.cardamomlane.daemon.target.TargetPool
import dev.cardamomlane.daemon.trace.Tracing
import dev.cardamomlane.store.DynamoPlatformTable
import dev.cardamomlane.store.DynamoSettings
import dev.cardamomlane.wire.NettySessionOpener
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.EventLoop
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.DisposableServer
import reactor.netty.resources.LoopResources
import java.io.File
import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * One entry host of the fleet. One event loop thread runs all decisions on statements.
 *
 * [start] and [stop] block and must not be called on the event loop.
 */
internal class Daemon(private val settings: Settings) {
    private val host = settings.host
    private val loops = LoopResources.create("lane", 1, 1, true)
    private val loop = loops.onServer(true).next() as EventLoop
    private val scheduler = Schedulers.fromExecutor(loop)
    private val timers = RealTimerService(loop)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val opener = NettySessionOpener(loops)
    private val targetRequests = TargetRequests(settings)
    private val table = DynamoPlatformTable(dynamoSettings())
    private val requests = HostRequests(loop)
    private val fleet = RealFleet(
        host = host.name,
        peerAddress = host.peerAddress,
        secret = settings.fleet.secret,
        table = table,
        timers = timers,
        meters = registry,
        requests = requests,
        timings = FleetTimings(heartbeatMillis = settings.fleet.heartbeatMillis.toLong()),
    )
    private val groups: List<RealDatabaseGroup> = groups()
    private val lanes: Map<TargetId, TargetLane> = settings.databases
        .flatMap { database -> database.targets.map { lane(database, it) } }
        .associateBy { it.target }
    private val services = CallerServices(
        host = host.name,
        settings = settings.callers,
        timers = timers,
        gate = fleet.gate,
        groups = MapGroupDirectory(groups),
        lanes = lanes,
        probe = RealTargetProbe(opener, targetRequests.controlByTarget()),
        meters = CallerMeters(registry),
        tracer = Tracing.create(settings.trace, host.name.value).getTracer("cardamomlane"),
    )
    private val desk = CallerDesk(
        host = host.name,
        serverParameters = ServerParameters(opener, targetRequests.controlByDatabase()),
        passCancel = ::passCancel,
    )
    private var sharedAmong = 0
    private lateinit var callers: DisposableServer
    private lateinit var admin: DisposableServer

    fun start() {
        requests.connect(groups, desk)
        fleet.start()
        timers.every(TICK_MILLIS) { tick() }
        loop.submit { groups.forEach { it.start() } }.get()
        admin = bound(AdminServer(host.adminAddress, loops, registry, ::readiness, ::status, ::drain).bind())
        callers = bound(CallerServer(host.callerAddress, loops, tls(settings.callers), services, desk).bind())
        Logger.info("host: {} serves callers on {}.", host.name, host.callerAddress)
    }

    /** Stops without cutting a request: sessions end between transactions, at the latest after the drain time. */
    fun stop() {
        val done = CountDownLatch(1)
        loop.execute { desk.drain { done.countDown() } }
        val drained = done.await(settings.callers.drainMillis.toLong(), TimeUnit.MILLISECONDS)
        Logger.info("host: {} stops{}.", host.name, if (drained) "" else " with sessions left")
        fleet.stop().onErrorComplete().block(Duration.ofMillis(FLEET_STOP_MILLIS))
        callers.disposeNow()
        admin.disposeNow()
    }

    private fun drain() {
        loop.execute { desk.drain { Logger.info("host: {} is drained.", host.name) } }
    }

    private fun tick() {
        val nowMillis = timers.nowMillis()
        shareConnections()
        requests.refresh()
        lanes.values.forEach { it.poll() }
        services.runs.toList().forEach { it.onTick(nowMillis) }
    }

    private fun readiness(): Readiness = when {
        desk.isDraining -> Readiness.NotReady("stopping")
        fleet.gate.configuration() == null -> Readiness.NotReady("no configuration")
        !fleet.gate.inStanding() -> Readiness.NotReady("not in good standing")
        else -> Readiness.Ready
    }

    private fun status(): StatusReport {
        val status = fleet.status
        return StatusReport(
            host = host.name.value,
            availabilityZone = host.availabilityZone.value,
            revision = status.revision,
            revisionInForceSinceMillis = status.revisionInForceSinceMillis,
            standing = status.inStanding,
            ready = readiness() is Readiness.Ready,
            groups = groups.map { it.view() }.map { GroupReport(it.database.value, it.term, it.primary?.value) },
            members = status.members.map { it.value },
            connections = desk.connectionCount,
            sessions = desk.sessionCount,
            pid = ProcessHandle.current().pid(),
        )
    }

    private fun groups(): List<RealDatabaseGroup> {
        val factory = GroupFactory(
            host = host.name,
            availabilityZone = host.availabilityZone,
            table = table,
            courier = FleetCourier(fleet),
            timers = timers,
            scheduler = scheduler,
            control = { database, target ->
                SqlTargetControl(target.name, opener, targetRequests.control(database, target), scheduler)
            },
        )
        return settings.databases.map { factory.create(it) }
    }

    private fun lane(database: DatabaseSettings, target: TargetSettings) = TargetLane(
        target = target.name,
        timers = timers,
        queue = RealSlotQueue(AdaptiveLimit(target.slots)),
        pool = TargetPool(
            target.name,
            targetRequests.service(database, target),
            opener,
            timers,
            RealConnectionBudget(share = FIRST_CONNECTIONS),
        ),
    )

    /** Gives each host of the record the same part of a target's connections. */
    private fun shareConnections() {
        val memberCount = fleet.status.members.size.coerceAtLeast(1)
        if (memberCount == sharedAmong) return
        sharedAmong = memberCount
        settings.databases.flatMap { it.targets }.forEach { target ->
            lanes.getValue(target.name).setConnectionShare(maxOf(1, target.connections / memberCount))
        }
    }

    /** Passes a cancel request to every host that its number may name. */
    private fun passCancel(processId: Int, secretKey: Int) = fleet.status.members
        .filter { it != host.name && CancelKeys.hostCode(it) == CancelKeys.hostCodeOf(processId) }
        .forEach { fleet.forwardCancel(it, processId, secretKey) }

    private fun dynamoSettings() = DynamoSettings(
        endpoint = settings.platform.endpoint,
        region = settings.platform.region,
        tableName = settings.platform.table,
        accessKey = settings.platform.accessKey,
        secretKey = settings.platform.secretKey,
    )

    private fun tls(callers: CallerSettings): SslContext? {
        val certificate = callers.tlsCertificateFile ?: return null
        val key = checkNotNull(callers.tlsKeyFile) { "tlsKeyFile is missing" }
        return SslContextBuilder.forServer(File(certificate), File(key)).build()
    }

    private fun bound(server: Mono<out DisposableServer>): DisposableServer =
        checkNotNull(server.block()) { "a server did not start" }

    private companion object {
        /** The connections to a target before this host knows how many others there are. */
        const val FIRST_CONNECTIONS = 1
        const val TICK_MILLIS = 50L
        const val FLEET_STOP_MILLIS = 2_000L
    }
}
