package dev.cardamomlane.daemon

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.clock.MachineClock
import dev.cardamomlane.core.fleet.FleetTimings
import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.core.queue.EstimatingConnectionBudget
import dev.cardamomlane.core.queue.FairSlotQueue
import dev.cardamomlane.daemon.admin.AdminServer
import dev.cardamomlane.daemon.admin.GroupReport
import dev.cardamomlane.daemon.admin.StatusReport
import dev.cardamomlane.daemon.caller.CallerConnections
import dev.cardamomlane.daemon.caller.CallerMeters
import dev.cardamomlane.daemon.caller.CallerServer
import dev.cardamomlane.daemon.caller.CallerServices
import dev.cardamomlane.daemon.caller.CancelKeys
import dev.cardamomlane.daemon.caller.ServerParameters
import dev.cardamomlane.daemon.fleet.FleetDriver
import dev.cardamomlane.daemon.group.FleetPeerMessenger
import dev.cardamomlane.daemon.group.GroupFactory
import dev.cardamomlane.daemon.group.MonitoredDatabaseGroup
import dev.cardamomlane.daemon.group.SqlTargetControl
import dev.cardamomlane.daemon.settings.CallerSettings
import dev.cardamomlane.daemon.settings.DatabaseSettings
import dev.cardamomlane.daemon.settings.Settings
import dev.cardamomlane.daemon.settings.TargetSettings
import dev.cardamomlane.daemon.target.ControlConnectionProbe
import dev.cardamomlane.daemon.target.TargetDispatcher
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
 * One host of the fleet: creates all its parts from [settings], starts and stops them. One event loop thread makes all
 * decisions on statements.
 *
 * [start] and [stop] block and must not be called on the event loop.
 */
internal class Daemon(private val settings: Settings) {
    private val host = settings.host
    private val loops = LoopResources.create("lane", 1, 1, true)
    private val loop = loops.onServer(true).next() as EventLoop
    private val scheduler = Schedulers.fromExecutor(loop)
    private val timers = EventLoopTimerService(loop)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val opener = NettySessionOpener(loops)
    private val targetRequests = TargetOpenRequests(settings)
    private val table = DynamoPlatformTable(dynamoSettings())
    private val peerRequestHandler = EventLoopPeerRequestHandler(loop)
    private val fleet = FleetDriver(
        host = host.name,
        peerAddress = host.peerAddress,
        secret = settings.fleet.secret,
        table = table,
        timers = timers,
        meters = registry,
        requestHandler = peerRequestHandler,
        timings = FleetTimings(heartbeatMillis = settings.fleet.heartbeatMillis.toLong()),
    )
    private val groups: List<MonitoredDatabaseGroup> = createGroups()
    private val dispatchers: Map<TargetId, TargetDispatcher> = settings.databases
        .flatMap { database -> database.targets.map { createDispatcher(database, it) } }
        .associateBy { it.target }
    private val services = CallerServices(
        host = host.name,
        settings = settings.callers,
        timers = timers,
        gate = fleet.gate,
        groups = MapGroupDirectory(groups),
        dispatchers = dispatchers,
        probe = ControlConnectionProbe(opener, targetRequests.controlByTarget()),
        meters = CallerMeters(registry),
        tracer = Tracing.create(settings.trace, host.name.value).getTracer("cardamomlane"),
    )
    private val callerConnections = CallerConnections(
        host = host.name,
        serverParameters = ServerParameters(opener, targetRequests.controlByDatabase()),
        forwardCancel = ::forwardCancel,
    )
    private val parts = GuardedParts()
    private var appliedMemberCount = 0
    private lateinit var callers: DisposableServer
    private lateinit var admin: DisposableServer

    fun start() {
        peerRequestHandler.connect(groups, callerConnections)
        fleet.start()
        timers.every(TICK_MILLIS) { tick() }
        loop.submit { groups.forEach { it.start() } }.get()
        admin = bound(AdminServer(host.adminAddress, loops, registry, ::readiness, ::status, ::drain).bind())
        callers =
            bound(CallerServer(host.callerAddress, loops, tls(settings.callers), services, callerConnections).bind())
        Logger.info("host: {} serves callers on {}.", host.name, host.callerAddress)
        MachineClock.failure?.let { Logger.warn("clock: suspensions of the machine are not counted: {}", it) }
    }

    /**
     * Stops gracefully: sessions end between transactions, so that no request is interrupted. Waits for them at most
     * [CallerSettings.drainMillis], then leaves the fleet and stops listening.
     */
    fun stop() {
        val done = CountDownLatch(1)
        loop.execute { callerConnections.drain { done.countDown() } }
        val drained = done.await(settings.callers.drainMillis.toLong(), TimeUnit.MILLISECONDS)
        Logger.info("host: {} stops{}.", host.name, if (drained) "" else " with sessions left")
        fleet.stop().onErrorComplete().block(Duration.ofMillis(FLEET_STOP_TIMEOUT_MILLIS))
        callers.disposeNow()
        admin.disposeNow()
    }

    private fun drain() {
        loop.execute { callerConnections.drain { Logger.info("host: {} is drained.", host.name) } }
    }

    private fun tick() {
        val nowMillis = timers.nowMillis()
        parts.run("host: sharing connections") { shareConnections() }
        parts.run("host: the views for peers") { peerRequestHandler.refresh() }
        parts.runEach("host: the queue of a target", dispatchers.values) { it.poll() }
        parts.runEach("host: the timeouts of a statement", services.executions.toList()) { it.onTick(nowMillis) }
    }

    private fun readiness(): Readiness = when {
        callerConnections.isDraining -> Readiness.NotReady("stopping")
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
            connections = callerConnections.connectionCount,
            sessions = callerConnections.sessionCount,
            pid = ProcessHandle.current().pid(),
        )
    }

    private fun createGroups(): List<MonitoredDatabaseGroup> {
        val factory = GroupFactory(
            host = host.name,
            availabilityZone = host.availabilityZone,
            table = table,
            messenger = FleetPeerMessenger(fleet),
            timers = timers,
            scheduler = scheduler,
            control = { database, target ->
                SqlTargetControl(target.name, opener, targetRequests.control(database, target), scheduler)
            },
        )
        return settings.databases.map { factory.create(it) }
    }

    private fun createDispatcher(database: DatabaseSettings, target: TargetSettings) = TargetDispatcher(
        target = target.name,
        timers = timers,
        queue = FairSlotQueue(AdaptiveLimit(target.slots)),
        pool = TargetPool(
            target.name,
            targetRequests.service(database, target),
            opener,
            timers,
            EstimatingConnectionBudget(share = INITIAL_CONNECTIONS),
        ),
    )

    /** Divides the connections of each target evenly among the members of the fleet, with at least one for each. */
    private fun shareConnections() {
        val memberCount = fleet.status.members.size.coerceAtLeast(1)
        if (memberCount == appliedMemberCount) return
        appliedMemberCount = memberCount
        settings.databases.flatMap { it.targets }.forEach { target ->
            dispatchers.getValue(target.name).setConnectionShare(maxOf(1, target.connections / memberCount))
        }
    }

    /** Forwards a cancel request to the other members whose host code is in [processId]. Several may share a code. */
    private fun forwardCancel(processId: Int, secretKey: Int) = fleet.status.members
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
        checkNotNull(server.block()) { "the server did not start to listen" }

    private companion object {
        /** This host's share of a target's connections until it knows the number of members. */
        const val INITIAL_CONNECTIONS = 1
        const val TICK_MILLIS = 50L
        const val FLEET_STOP_TIMEOUT_MILLIS = 2_000L
    }
}
