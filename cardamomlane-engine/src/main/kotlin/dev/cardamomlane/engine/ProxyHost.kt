package dev.cardamomlane.engine

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.config.GroupPolicy
import dev.cardamomlane.engine.fleet.CapacityReport
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.CustomerDemand
import dev.cardamomlane.engine.fleet.Fleet
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.fleet.GroupStatus
import dev.cardamomlane.engine.fleet.HeartbeatDelegate
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.fleet.Peer
import dev.cardamomlane.engine.fleet.PeerMessage
import dev.cardamomlane.engine.fleet.PeerNetwork
import dev.cardamomlane.engine.fleet.PromotionCall
import dev.cardamomlane.engine.fleet.SettledEpoch
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.fleet.Takeover
import dev.cardamomlane.engine.forward.ForwardedOperations
import dev.cardamomlane.engine.forward.Forwarder
import dev.cardamomlane.engine.forward.HostDialer
import dev.cardamomlane.engine.forward.HostLink
import dev.cardamomlane.engine.forward.HostLinkListener
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.PositionSample
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.RequestMeter
import dev.cardamomlane.engine.session.AdmissionGate
import dev.cardamomlane.engine.session.CallerLink
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.session.SessionServices
import dev.cardamomlane.engine.target.TargetDialer
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.target.TargetList
import dev.cardamomlane.engine.target.UncertainAnswer
import dev.cardamomlane.engine.zone.KnownDrains
import dev.cardamomlane.engine.zone.WarmUpShare
import dev.cardamomlane.engine.zone.ZoneDrains
import dev.cardamomlane.engine.zone.ZoneRules

/**
 * One host of the proxy: its sessions, its database groups and its membership in the fleet.
 *
 * Not safe for use by several threads: every call must come from one event loop. Nothing here blocks, reads a clock or
 * opens a socket; time, network and storage come from the constructor's arguments.
 *
 * @param leaveBoundMillis how soon after a target reports that it is about to leave it gets no more statements
 * @param drainBoundMillis how soon after an operator's request the targets of a draining zone get no more statements
 */
public class ProxyHost(
    private val self: Member,
    zones: List<String>,
    override val timers: TimerService,
    private val dialer: TargetDialer,
    store: ControlStore,
    private val network: PeerNetwork,
    hostDialer: HostDialer,
    private val promotion: PromotionCall,
    override val log: DecisionLog,
    private val meter: RequestMeter,
    override val features: Features = Features.NONE,
    private val drainBoundMillis: Long = 5_000,
    private val leaveBoundMillis: Long = 5_000,
) : SessionServices,
    HeartbeatDelegate {
    private val groupRecords = GroupRecords()
    private val groups = LinkedHashMap<DatabaseId, DatabaseGroup>()
    private val fleet = Fleet(self, zones, { groups.values }, timers, store, ::send, groupRecords, log, this)
    private val forwarded = ForwardedOperations(this, timers) { fleet.isRegistered && !isClosing() }
    private val urgency = if (features.schedulesByValue) RateByUrgency(log) else null
    private val limits = CustomerLimits(fleet, groupRecords, timers, urgency)
    private val cutOff = CutOffWatch(fleet, groupRecords, timers, log)
    private val capacities = CapacityReports { groups.values }
    private val takeovers = LinkedHashMap<DatabaseId, Takeover>()
    private val sessions = LinkedHashSet<CallerSession>()
    private val stop = GracefulStop(sessions, forwarded, fleet, timers, log)
    private val targetList = TargetList(timers, log) {
        updateGroups()
        openWaitingSessions()
    }
    private val knownDrains = KnownDrains(features.drainsZones, log, ::zonesOfTargets) {
        updateGroups()
        fleet.heartbeat()
        openWaitingSessions()
    }
    private var memberNames: Set<String> = emptySet()
    private var hasSeat = false
    private var isFetchScheduled = false
    private val waitingSessions = ArrayList<CallerSession>()

    override var configuration: Configuration = Configuration.NONE
        private set

    override val forwarder: Forwarder = Forwarder(self, ::isReady, timers, fleet, hostDialer, log)

    /**
     * True for the few members that look out for a new configuration at short intervals. They tell the other members,
     * and these tell the other hosts.
     */
    public fun watchesClosely(): Boolean = fleet.isRegistered && fleet.rank(timers.nowMillis()) < CLOSE_WATCHERS

    /** Called once, when this host first serves operations itself, which takes the targets' list. */
    public var onFirstSeat: () -> Unit = {}

    override val gate: AdmissionGate get() = limits

    /** The age of this host's proof, as [GroupRecords] defines it. */
    public fun proofAgeMillis(): Long = timers.nowMillis() - groupRecords.provedAtMillis

    /** The newest settled epoch of the store, see [SettledEpoch]; while it is below the store's, rows are no proof. */
    public val settledEpoch: Long get() = fleet.controlTable.rows?.settled?.epoch ?: StorePosition.UNKNOWN_EPOCH

    /** Operations refused here because more urgent ones of their customers use up the rate. */
    public val refusedByPriorityCount: Long get() = urgency?.refusedCount ?: 0

    /** Operations refused here because a member said that their customer is over its rate. */
    public val refusedByHintCount: Long get() = forwarder.hints.refusedCount

    /** The number of sessions, those that wait to be opened included. */
    public val sessionCount: Int get() = sessions.size

    /** Called with a peer and the version of its configuration when that is newer than this host's. */
    public var onNewerConfiguration: (Member, Long) -> Unit = { _, _ -> }

    init {
        groupRecords.onChange { record ->
            groups[record.group]?.onRecord(record)
            fleet.heartbeat()
        }
        fleet.onMembers { names ->
            memberNames = names
            if (fleet.isRegistered && !hasSeat) {
                hasSeat = true
                onFirstSeat()
            }
            updateGroups()
            openWaitingSessions()
        }
        fleet.directory.onUsable = ::openWaitingSessions
        fleet.directory.onConfigurationVersion = ::fetchIfNewer
        forwarder.onNewerConfiguration = ::fetchIfNewer
    }

    /** Waits a moment before a newer configuration is fetched, since this host's own copy usually arrives by then. */
    private fun fetchIfNewer(from: Member, version: Long) {
        if (version <= configuration.version || isFetchScheduled) return
        isFetchScheduled = true
        timers.after(if (fleet.isRegistered) MEMBER_FETCH_DELAY_MILLIS else FETCH_DELAY_MILLIS) {
            isFetchScheduled = false
            if (version > configuration.version) onNewerConfiguration(from, version)
        }
    }

    /** Takes over a connection that another host opened, and returns the listener for its events. */
    public fun onHostLink(link: HostLink): HostLinkListener = forwarded.onLink(link)

    /** Joins the fleet and starts the periodic work. To be called once. */
    public fun start() {
        log.event(
            "host", "started", "host", self.name, "zone", self.zone, "incarnation", self.incarnation,
            "features", features,
        )
        fleet.refresh()
        timers.every(Fleet.HEARTBEAT_MILLIS) { onHeartbeat() }
        timers.every(TICK_INTERVAL_MILLIS) { onTick() }
    }

    /** Handles a datagram of another host. */
    public fun onPeerMessage(message: PeerMessage) {
        message.drains?.let { knownDrains.learn(it, message.from) }
        fleet.onMessage(message)
    }

    /** Puts [newer] in force, unless the configuration in force has the same or a newer version. */
    public fun configure(newer: Configuration) {
        if (newer.version <= configuration.version) return
        val before = configuration
        configuration = newer
        log.event(
            "configuration", "in_force", "version", newer.version, "before", before.version,
            "routes", newer.routes.size, "customers", newer.customersByKey.values.distinct().size,
        )
        endWithdrawnOperations()
        updateGroups()
        openWaitingSessions()
    }

    private fun endWithdrawnOperations() {
        var count = sessions.toList().count { it.endIfKeyWithdrawn() }
        forwarded.forEach { if (it.endIfKeyWithdrawn()) count++ }
        if (count > 0) log.event("configuration", "key_withdrawn", "operations", count)
    }

    /** Takes over the platform's list of targets as of [position] of the store, unless a newer one is known. */
    public fun updateTargets(list: List<TargetEntry>, position: StorePosition): Unit = targetList.update(list, position)

    /** The newest drains of zones that this host knows; always [ZoneDrains.UNKNOWN] while the feature is off. */
    public val drains: ZoneDrains get() = knownDrains.newest

    /** Takes over the operators' requests to drain zones, as read from the store, unless newer ones are known. */
    public fun updateDrains(drains: ZoneDrains): Unit = knownDrains.update(drains)

    /** Takes over the requests to drain zones that the host [from] knows, if they are newer. */
    public fun learnDrains(drains: ZoneDrains, from: String): Unit = knownDrains.learn(drains, from)

    /** The number of heartbeats of other hosts that were not dated, as a clock is wrong. */
    public val futureHeartbeatCount: Long get() = fleet.futureHeartbeatCount

    /** The number of targets that warm up now. */
    public fun warmingTargetCount(): Int =
        groups.values.sumOf { group -> group.targets.count { it.zoneGate.isWarmingUp(timers.nowMillis()) } }

    /** How many answers of [kind] this host has received from targets. */
    public fun uncertainAnswerCount(kind: UncertainAnswer): Long = groups.values.sumOf { it.uncertainAnswerCount(kind) }

    /** What operations under way hold of [kind] on this host. */
    public fun held(kind: HeldKind): Held = Held.of(
        when (kind) {
            HeldKind.TARGET_CONNECTION -> groups.values.flatMap { group ->
                group.targets.flatMap { it.takenSinceMillis() }
            }
            HeldKind.QUEUE_PLACE -> groups.values.flatMap { it.queuedSinceMillis() }
            HeldKind.FORWARDED_OPERATION -> buildList { forwarded.forEach { add(it.startedAtMillis) } }
            HeldKind.REMOTE_OPERATION -> forwarder.startedAtMillis()
        },
        timers.nowMillis(),
    )

    private fun zonesOfTargets(): Set<String> = targetList.entries.mapTo(HashSet()) { it.zone }

    /** Each datagram carries the drains, so that hosts which the store does not inform learn of them in time. */
    private fun send(address: String, message: PeerMessage) {
        val known = drains.takeIf { features.drainsZones && knownDrains.isKnown }
        network.send(address, if (known == null) message else message.copy(drains = known))
    }

    private fun isClosing(): Boolean = stop.isClosing

    override val startsOperations: Boolean get() = !stop.isEnding

    override fun group(id: DatabaseId): DatabaseGroup? = groups[id]

    override fun count(route: String, outcome: String, tookMillis: Long) {
        meter.count(route, outcome, tookMillis)
    }

    /**
     * Opens a session for a caller, or refuses it over [link]. While this host has no configuration, fleet members or
     * targets yet, the session waits for them for a limited time before it is refused.
     */
    public fun openSession(link: CallerLink, database: String, key: String?): CallerSession {
        val session = CallerSession(this, link, database, key)
        if (stop.isClosing) {
            session.refuse("the host is stopping, not run")
            return session
        }
        sessions += session
        if (canServe()) {
            session.open()
        } else {
            waitingSessions += session
            timers.after(MAX_OPEN_WAIT_MILLIS) { if (waitingSessions.remove(session)) session.open() }
        }
        return session
    }

    private fun canServe(): Boolean = configuration.version >= 0 && when {
        fleet.isRegistered -> groups.values.any { it.targets.isNotEmpty() }
        else -> fleet.directory.usable(timers.nowMillis()).isNotEmpty()
    }

    private fun openWaitingSessions() {
        if (waitingSessions.isEmpty() || !canServe()) return
        val waiting = waitingSessions.toList()
        waitingSessions.clear()
        waiting.forEach { it.open() }
    }

    /** The connection of [session]'s caller has ended, whichever side closed it. */
    public fun closeSession(session: CallerSession) {
        sessions -= session
        waitingSessions -= session
        session.onClosed()
    }

    /**
     * True when this host can serve callers and is not stopping. A member must know the groups and their primaries;
     * another host must know a member that takes operations.
     */
    override val isReady: Boolean
        get() {
            val nowMillis = timers.nowMillis()
            if (stop.isStopping || configuration.version < 0 || !knownDrains.isKnown) return false
            if (!fleet.isRegistered) return fleet.directory.usable(nowMillis).isNotEmpty()
            return groups.values.any { it.targets.isNotEmpty() } && groupRecords.isCurrent(nowMillis)
        }

    /**
     * Begins a graceful stop, whose steps come at [times]. Calls [stopAccepting] when no new connections are wanted, and
     * [done] when all sessions are closed, at the latest at the end of [times]. Further calls have no effect.
     */
    public fun stop(times: StopTimes, stopAccepting: () -> Unit, done: () -> Unit): Unit =
        stop.start(times, stopAccepting, done)

    override val configurationVersion: Long get() = configuration.version

    override fun groupStatuses(nowMillis: Long): List<GroupStatus> =
        groups.values.map { GroupStatus.of(it, groupRecords.record(it.id), nowMillis) }

    override fun onGroupStatuses(peer: Peer, statuses: List<GroupStatus>, nowMillis: Long) {
        val heartbeat = peer.lastHeartbeat ?: return
        limits.onReport(peer, heartbeat, nowMillis)
        fetchIfNewer(peer.member, heartbeat.configurationVersion)
        for (status in statuses) {
            if (status.primary in status.unreachable) takeovers[DatabaseId(status.group)]?.tick()
        }
        if (peer.sentNotBeforeMillis <= GroupRecords.NEVER) return
        for (status in statuses) {
            val group = groups[DatabaseId(status.group)] ?: continue
            if (status.positionAgeMillis < 0 || status.primary.isEmpty()) continue
            val sentAtMillis = peer.sentNotBeforeMillis - status.positionAgeMillis
            val position = LogPosition(status.positionTerm, status.positionOffset)
            group.learnPosition(TargetId(status.primary), PositionSample(sentAtMillis, position))
        }
    }

    private fun onHeartbeat() {
        fleet.tick()
        closeIdleSessionsWhenCutOff()
        fleet.newestPeerConfiguration()?.let { (member, version) -> fetchIfNewer(member, version) }
        forwarder.closeUnused()
    }

    /** Closes idle sessions, a few at a time, so that their callers connect to other hosts. */
    private fun closeIdleSessionsWhenCutOff() {
        if (!cutOff.isCutOff()) return
        for (session in sessions.filter { it.isIdle && it.isOpen }.take(CUT_OFF_CLOSE_COUNT)) session.closeWhenIdle()
    }

    private fun onTick() {
        if (!hasSeat) return
        for (group in groups.values) group.tick()
        for (takeover in takeovers.values) takeover.tick()
    }

    private fun updateGroups() {
        if (!hasSeat || !knownDrains.isKnown) return
        val byGroup = targetList.entries.groupBy { it.group }
        val known = byGroup.keys + configuration.groups.keys + groups.keys
        for (id in known) {
            val policy = configuration.groups[id]
            val group = groups.getOrPut(id) { newGroup(id) }
            group.controlCustomer = configuration.customersByKey.values.firstOrNull()?.id?.value
            group.update(
                byGroup[id] ?: emptyList(),
                connectionShare(policy?.maxConnections),
                zoneRules(policy),
                leaveBoundMillis = if (isReplicated(id)) leaveBoundMillis else 0,
            )
        }
    }

    private fun isReplicated(id: DatabaseId) = configuration.groups[id]?.isReplicatedBeforeAcknowledged == true

    private fun zoneRules(policy: GroupPolicy?): ZoneRules {
        if (!features.drainsZones) return ZoneRules.OFF
        val perSecond = policy?.warmUpPerSecond?.takeIf { it > 0 }
        return ZoneRules(
            isOn = true,
            drainingZones = knownDrains.zones,
            graceMillis = maxOf(0, drainBoundMillis - DRAIN_NOTICE_MILLIS),
            warmUpMillis = policy?.warmUpMillis ?: 0,
            warmUpPerSecond = perSecond?.let { WarmUpShare.of(it, memberNames, self.name) },
        )
    }

    private fun connectionShare(maxConnections: Int?): Int {
        if (maxConnections == null) return MIN_CONNECTIONS
        return maxOf(MIN_CONNECTIONS, (maxConnections - SPARE_CONNECTIONS) / maxOf(1, memberNames.size))
    }

    private fun newGroup(id: DatabaseId): DatabaseGroup {
        val group = DatabaseGroup(id, self.zone, timers, dialer, groupRecords, log, features.learnsCapacity)
        group.onConfirmed = fleet::heartbeat
        group.onPrimaryUnreachable = { fleet.heartbeatSoon(Fleet.URGENT_HEARTBEAT_GAP_MILLIS) }
        takeovers[id] = Takeover(
            self = self.run,
            group = group,
            fleet = fleet,
            promotion = promotion,
            timers = timers,
            log = log,
            isReplicated = { isReplicated(id) },
            customerName = { group.controlCustomer },
        )
        groupRecords.record(id)?.let(group::onRecord)
        return group
    }

    override fun demand(nowMillis: Long): List<CustomerDemand> = limits.demand(nowMillis)

    /** The learned limit and the health of each target, by the name of the metric; empty while nothing is learned. */
    public fun capacityGauges(): Map<String, Number> = capacities.gauges()

    override fun capacityReports(): List<CapacityReport>? = if (features.learnsCapacity) capacities.own() else null

    override fun onCapacityReports(peer: Peer, reports: List<CapacityReport>, nowMillis: Long): Unit =
        capacities.onReports(peer, reports, nowMillis)

    public companion object {
        /** How long a session waits for this host to know configuration, fleet members and targets. */
        private const val MAX_OPEN_WAIT_MILLIS = 1_200L

        /** The most sessions that are closed at each heartbeat while this host is cut off. */
        private const val CUT_OFF_CLOSE_COUNT = 48

        /** How long a member, or another host, waits for a newer configuration before it fetches it from a member. */
        private const val MEMBER_FETCH_DELAY_MILLIS = 150L
        private const val FETCH_DELAY_MILLIS = 900L

        /** How many members look out for a new configuration at short intervals. */
        private const val CLOSE_WATCHERS = 3

        /**
         * How long after the store has acknowledged a drain a host may learn of it: 3 s, in which a lost feed call is
         * noticed, and half a second for the way from host to host and the next tick.
         */
        private const val DRAIN_NOTICE_MILLIS = 3_500L

        private const val TICK_INTERVAL_MILLIS = 40L

        /** The least number of connections that a host may open to each target. */
        private const val MIN_CONNECTIONS = 2

        /** Connections to each target that the hosts leave unused together. */
        private const val SPARE_CONNECTIONS = 2
    }
}
