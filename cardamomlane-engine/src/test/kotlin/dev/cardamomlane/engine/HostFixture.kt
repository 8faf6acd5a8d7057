package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Consistency
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.config.GroupPolicy
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.fleet.PeerCodec
import dev.cardamomlane.engine.fleet.PeerMessage
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.TrafficCounts
import dev.cardamomlane.engine.log.TrafficKind
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.zone.ZoneDrains
import kotlinx.collections.immutable.toImmutableMap
import reactor.core.publisher.Mono

/**
 * Hosts with fake targets and a fake store, in simulated time.
 *
 * @property entries the list of targets that each host starts with
 * @param drains what each host reads from the store at its start, or null when it can't
 * @param settleMillis how long the hosts run before the constructor returns
 */
class HostFixture(
    hostCount: Int = 1,
    settleMillis: Long = 1_000,
    private val isConfigured: Boolean = true,
    private val isReplicatedBeforeAcknowledged: Boolean = false,
    private val features: Features = Features.NONE,
    var entries: List<TargetEntry> =
        listOf(targetEntry("p", isPrimary = true), targetEntry("r1"), targetEntry("r2")),
    private val drains: ZoneDrains? = null,
    private val warmUpMillis: Long = 0,
    private val warmUpPerSecond: Int = 0,
    private val maxConnections: Int = 40,
    private val timeoutMillis: Long = 1_000,
    private val log: DecisionLog = DecisionLog.None,
    private val clockReading: ClockReading = ClockReading.BOOT_TIME,
) {
    val timers = ManualTimerService()
    val targets = FakeTargets(timers)
    val store = FakeStore()

    val promotionCalls = FakePromotions(timers, targets)

    /** The targets whose promotion was requested, each with the fence of the request, in order. */
    val promotions: List<Pair<String, Long>> get() = promotionCalls.sent.map { it.target to it.fence }

    /** Called with each target that has become primary by promotion. */
    var onPromoted: (FakeTarget) -> Unit = {}

    /** Decides what becomes of a host's next write to the store. */
    var nextStoreFate: () -> PartitionableStore.Fate = { PartitionableStore.Fate() }

    /** Paths between hosts on which datagrams are lost, as `from>to`. */
    val cutPaths = HashSet<String>()

    /** True when what arrives at a machine that is suspended is lost; otherwise it waits. */
    var losesDatagramsWhileSuspended = false

    /** How many datagrams each host has sent or received, by its name. */
    val datagramCounts = HashMap<String, Int>()

    /** The messages that hosts have sent each other, by kind. */
    var traffic = TrafficCounts()
        private set

    /** Names of hosts that exchange no messages with other hosts. */
    val partitionedHosts = HashSet<String>()

    /** Names of hosts that can't reach the store and whose promotion requests get no answer. */
    val hostsWithoutPlatform = HashSet<String>()
    private val runningHosts = ArrayList<ProxyHost>()
    private val processes = HashMap<String, StoppableTimers>()
    private val machines = HashMap<String, SimulatedMachine>()

    /** The host that runs under each name, in the order of the names' numbers. */
    val hosts: List<ProxyHost> get() = runningHosts

    /** The connections between the hosts. */
    val links = FakeHostLinks(
        timers = timers,
        onSent = { kind, sizeBytes -> traffic.count(kind, sizeBytes) },
        isPartitioned = { from, to -> from in partitionedHosts || to in partitionedHosts },
        whenAwake = { name, action -> machine(name).whenAwake(action) },
    )
    private val hostsByAddress = HashMap<String, ProxyHost>()

    init {
        targets.target("p").isPrimary = true
        promotionCalls.onPromoted = { target, _ -> onPromoted(target) }
        repeat(hostCount) { runningHosts += host("host-$it", incarnation = 1) }
        hosts.forEach(::start)
        timers.advance(settleMillis)
    }

    private fun start(host: ProxyHost) {
        if (isConfigured) host.configure(configuration(version = 1))
        host.updateTargets(entries, StorePosition(1, 1))
        if (nameOf(host) !in hostsWithoutPlatform) drains?.let(host::updateDrains)
        host.start()
    }

    private fun nameOf(host: ProxyHost): String = hostsByAddress.entries.first { it.value === host }.key

    /** Kills host [index]: nothing that it has begun goes on, and it does nothing any more. */
    fun kill(index: Int) {
        val name = "host-$index"
        processes.getValue(name).stop()
        machine(name).dropWaiting()
        links.disconnect(name)
    }

    /** Kills host [index] if it still runs and starts it anew; it remembers nothing. */
    fun restart(index: Int) {
        val name = "host-$index"
        kill(index)
        runningHosts[index] = host(name, incarnation = timers.nowMillis())
        start(runningHosts[index])
    }

    /** Ends the process of host [index], as its own exit does. */
    fun end(index: Int) {
        val name = "host-$index"
        processes.getValue(name).stop()
        links.disconnect(name)
    }

    /** The machine on which the host [name] runs. */
    fun machine(name: String): SimulatedMachine = machines.getOrPut(name) { SimulatedMachine(timers, clockReading) }

    private fun host(name: String, incarnation: Long): ProxyHost {
        val machine = machine(name)
        val process = StoppableTimers(machine)
        processes[name] = process
        val host = ProxyHost(
            self = Member(name, incarnation, address = name, snapshotAddress = name, zone = "a"),
            zones = listOf("a"),
            timers = process,
            dialer = targets.dialerFor(name, machine::whenAwake) { process.isRunning },
            store = PartitionableStore(store, timers, { nextStoreFate() }, machine::whenAwake) {
                !process.isRunning || name in hostsWithoutPlatform
            },
            network = { address, message -> if (process.isRunning) deliver(name, address, message) },
            hostDialer = links.dialerFor(name),
            promotion = { _, target, holder, fence ->
                val isReached = process.isRunning && holder.substringBefore('#') !in hostsWithoutPlatform
                val answer = if (isReached) promotionCalls.call(target.value, holder, fence) else Mono.never()
                Mono.create { sink -> answer.subscribe { machine.whenAwake { sink.success(it) } } }
            },
            log = log,
            meter = { _, _, _ -> },
            features = features,
            leaveBoundMillis = LEAVE_BOUND_MILLIS,
        )
        hostsByAddress[name] = host
        links.add(name, host)
        return host
    }

    private fun deliver(from: String, to: String, message: PeerMessage) {
        datagramCounts.merge(from, 1, Int::plus)
        datagramCounts.merge(to, 1, Int::plus)
        val bytes = PeerCodec.encode(message)
        traffic.count(TrafficKind.of(message), bytes.size)
        if (from in partitionedHosts || to in partitionedHosts || "$from>$to" in cutPaths) return
        timers.after(1) {
            if (losesDatagramsWhileSuspended && machine(to).isSuspended) return@after
            machine(to).whenAwake { hostsByAddress[to]?.onPeerMessage(checkNotNull(PeerCodec.decode(bytes))) }
        }
    }

    /** Counts [traffic] anew. */
    fun resetTraffic() {
        traffic = TrafficCounts()
    }

    /**
     * @param customers the name of the customer that holds each key
     * @param change makes each route from the usual one of its name
     */
    fun configuration(
        version: Long,
        key: String = "key",
        databases: Set<String> = setOf("latest", "bounded", "session"),
        customers: Map<String, String> = mapOf(key to "press"),
        change: (Route) -> Route = { it },
    ) = Configuration(
        version = version,
        routes = databases.associateWith { change(route(it)) }.toImmutableMap(),
        customersByKey = customers.mapValues { (_, name) -> Customer(CustomerId(name), Allowance(1_000.0, 1_000.0)) }
            .toImmutableMap(),
        groups = mapOf(
            DatabaseId("g") to GroupPolicy(
                group = DatabaseId("g"),
                maxConnections = maxConnections,
                isReplicatedBeforeAcknowledged = isReplicatedBeforeAcknowledged,
                warmUpMillis = warmUpMillis,
                warmUpPerSecond = warmUpPerSecond,
            ),
        ).toImmutableMap(),
        transactionIdleMillis = 3_000,
    )

    private fun route(name: String) = Route(
        name = name,
        group = DatabaseId("g"),
        consistency = when (name) {
            "bounded" -> Consistency.BOUNDED
            "session" -> Consistency.SESSION
            else -> Consistency.LATEST
        },
        maxStaleMillis = 1_500,
        timeoutMillis = timeoutMillis,
        latencyGoalMillis = 400,
        priority = 1,
        isPublic = false,
    )

    /** Opens a session; fails when it is not open at once. */
    fun open(caller: FakeCaller, database: String = "latest", host: Int = 0): CallerSession {
        val session = hosts[host].openSession(caller, database, "key")
        check(caller.isOpened) { "refused: ${caller.refusal}" }
        return session
    }

    /** Sends a statement, lets [millis] pass and returns the answer to it, or null when there is none by then. */
    fun ask(session: CallerSession, caller: FakeCaller, statement: Statement, millis: Long = 100): CallerAnswer? {
        val before = caller.answers.size
        session.onStatement("id-$before", statement)
        timers.advance(millis)
        return caller.answers.getOrNull(before)
    }

    /**
     * Sends the write [statement] over and over, and counts the answers of success to writes that the target [replaced]
     * committed after another one became primary. Fails when no other one became primary.
     */
    fun countLateAcknowledgements(
        session: CallerSession,
        caller: FakeCaller,
        statement: Statement,
        replaced: String,
        attempts: Int,
    ): Int {
        var isReplaced = false
        var lateCommits = 0
        onPromoted = { isReplaced = true }
        targets.onCommit = { target, _ -> if (isReplaced && target.id == replaced) lateCommits++ }
        val acknowledged = (1..attempts).count {
            val before = lateCommits
            val answer = ask(session, caller, statement, millis = 20)
            lateCommits > before && answer != null && answer.error == null
        }
        check(isReplaced) { "no other target became primary" }
        return acknowledged
    }

    /** What hosts hold of each kind, and the statements that they count as running at targets. */
    fun held(): List<String> = hosts.flatMapIndexed { index, host ->
        val held = HeldKind.entries.map { it to host.held(it) }.filter { (_, held) -> held.count > 0 }
            .map { (kind, held) -> "host-$index holds ${held.count} ${kind.label}, one for ${held.oldestMillis} ms" }
        val running = host.group(DatabaseId("g"))?.targets.orEmpty().filter { it.runningCount > 0 }
            .map { "host-$index counts ${it.runningCount} statements at ${it.entry.id.value}" }
        held + running
    }

    /** Advances the replicas to the primary's log position. */
    fun replicate() {
        for (id in listOf("r1", "r2")) targets.target(id).position = targets.target("p").position
    }

    private companion object {
        /** How soon after a target reports that it is about to leave it may be sent no more statements. */
        const val LEAVE_BOUND_MILLIS = 7_000L
    }
}
