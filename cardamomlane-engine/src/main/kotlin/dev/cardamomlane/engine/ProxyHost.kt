package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.CustomerUsage
import dev.cardamomlane.core.limits.DemandShareLimiter
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Customer
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
import dev.cardamomlane.engine.fleet.Takeover
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

/**
 * One host of the proxy: its sessions, its database groups and its membership in the fleet.
 *
 * Not safe for use by several threads: every call must come from one event loop. Nothing here blocks, reads a clock or
 * opens a socket; time, network and storage come from the constructor's arguments.
 */
public class ProxyHost(
    private val self: Member,
    private val zone: String,
    override val timers: TimerService,
    private val dialer: TargetDialer,
    private val store: ControlStore,
    network: PeerNetwork,
    private val promotion: PromotionCall,
    override val log: DecisionLog,
    private val meter: RequestMeter,
) : SessionServices,
    HeartbeatDelegate {
    private val groupRecords = GroupRecords()
    private val fleet = Fleet(self, timers, store, network, groupRecords, log, this)
    private val shares = DemandShareLimiter(startedAtMillis = timers.nowMillis())
    private val groups = LinkedHashMap<DatabaseId, DatabaseGroup>()
    private val takeovers = LinkedHashMap<DatabaseId, Takeover>()
    private val sessions = LinkedHashSet<CallerSession>()
    private var entries: List<TargetEntry> = emptyList()
    private var memberNames: Set<String> = emptySet()
    private val waitingSessions = ArrayList<CallerSession>()
    private var stoppingSinceMillis: Long? = null
    private var isClosing = false
    private var cutOffSinceMillis: Long? = null
    private var configuredAtMillis = GroupRecords.NEVER

    override var configuration: Configuration = Configuration.NONE
        private set

    override val gate: AdmissionGate = AdmissionGate(::admit)

    /** The age of this host's proof, as [GroupRecords] defines it. */
    public fun proofAgeMillis(): Long = timers.nowMillis() - groupRecords.provedAtMillis

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
            updateGroups()
            openWaitingSessions()
        }
    }

    /** Joins the fleet and starts the periodic work. To be called once. */
    public fun start() {
        log.event("host", "started", "host", self.name, "zone", zone, "incarnation", self.incarnation)
        fleet.refresh()
        timers.every(Fleet.HEARTBEAT_MILLIS) { onHeartbeat() }
        timers.every(TICK_INTERVAL_MILLIS) { onTick() }
    }

    /** Handles a datagram of another host. */
    public fun onPeerMessage(message: PeerMessage) {
        fleet.onMessage(message)
    }

    /** Puts [newer] in force, unless the configuration in force has the same or a newer version. */
    public fun configure(newer: Configuration) {
        if (newer.version <= configuration.version) return
        val before = configuration
        configuration = newer
        configuredAtMillis = timers.nowMillis()
        log.event(
            "configuration", "in_force", "version", newer.version, "before", before.version,
            "routes", newer.routes.size, "customers", newer.customersByKey.values.distinct().size,
        )
        updateGroups()
        openWaitingSessions()
    }

    /** Replaces the list of targets. */
    public fun updateTargets(newer: List<TargetEntry>) {
        entries = newer
        updateGroups()
        openWaitingSessions()
    }

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
        if (isClosing) {
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

    private fun canServe(): Boolean = configuration.version >= 0 && memberNames.isNotEmpty() &&
        groups.values.any { it.targets.isNotEmpty() }

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

    /** True when this host can serve: it knows configuration, groups and their primaries, and is not stopping. */
    public fun isReady(): Boolean =
        stoppingSinceMillis == null && configuration.version >= 0 && groups.isNotEmpty() && fleet.isRegistered &&
            groupRecords.isCurrent(timers.nowMillis())

    /**
     * Begins a graceful stop. Callers are served as before for a while, until the load balancer sends them to other
     * hosts. Then [stopAccepting] is called and sessions are closed as they become idle. Transactions that are still
     * open after half of [graceMillis] are aborted. [done] is called when all sessions are closed or [graceMillis] have
     * passed. Further calls have no effect.
     */
    public fun stop(graceMillis: Long, stopAccepting: () -> Unit, done: () -> Unit) {
        if (stoppingSinceMillis != null) return
        val nowMillis = timers.nowMillis()
        stoppingSinceMillis = nowMillis
        log.event("host", "stopping", "sessions", sessions.size)
        timers.after(minOf(STOP_ACCEPTING_DELAY_MILLIS, graceMillis / 3)) {
            isClosing = true
            stopAccepting()
            closeIdleSessions()
        }
        timers.after(graceMillis / 2) { sessions.toList().forEach { it.abortTransaction("the host is stopping") } }
        finishStop(nowMillis + graceMillis, done)
    }

    private fun closeIdleSessions() {
        for (session in sessions.toList()) session.closeWhenIdle()
    }

    private fun finishStop(endMillis: Long, done: () -> Unit) {
        if ((isClosing && sessions.isEmpty()) || timers.nowMillis() >= endMillis) {
            log.event("host", "stopped", "sessions", sessions.size)
            return done()
        }
        timers.after(STOP_POLL_INTERVAL_MILLIS) { finishStop(endMillis, done) }
    }

    override val configurationVersion: Long get() = configuration.version

    override fun groupStatuses(nowMillis: Long): List<GroupStatus> = groups.values.map { status(it, nowMillis) }

    private fun status(group: DatabaseGroup, nowMillis: Long): GroupStatus {
        val record = groupRecords.record(group.id)
        val primary = group.primary
        val sample = group.newestSample
        val hasAnswered = primary != null && primary.lastAnswerAtMillis > GroupRecords.NEVER
        return GroupStatus(
            group = group.id.value,
            version = record?.version ?: 0,
            fence = record?.fence ?: 0,
            primary = record?.primary?.value ?: primary?.entry?.id?.value ?: "",
            isChanging = record?.isChanging ?: false,
            isPlanned = record?.isPlanned ?: false,
            holder = record?.holder ?: "",
            recordTerm = record?.term ?: 0,
            positionTerm = sample?.position?.term ?: 0,
            positionOffset = sample?.position?.offset ?: 0,
            positionAgeMillis = if (sample == null) -1 else nowMillis - sample.sentAtMillis,
            primaryHeardMillis = if (hasAnswered) nowMillis - primary.lastAnswerAtMillis else -1,
            unreachable = group.targets.filter { it.unreachableSinceMillis != null }.map { it.entry.id.value },
            confirmedVersion = group.confirmedVersion,
        )
    }

    override fun onGroupStatuses(peer: Peer, statuses: List<GroupStatus>, nowMillis: Long) {
        val heartbeat = peer.lastHeartbeat ?: return
        shares.onReport(
            host = HostId(peer.member.name),
            incarnation = peer.incarnation,
            usages = heartbeat.demand.associate {
                CustomerId(it.customer) to CustomerUsage(it.perSecond.toDouble(), it.admittedCount)
            },
            nowMillis = nowMillis,
        )
        val newer = heartbeat.configurationVersion
        if (newer > configuration.version) onNewerConfiguration(peer.member, newer)
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
        fleet.newestPeerConfiguration()?.let { (member, version) ->
            if (version > configuration.version) onNewerConfiguration(member, version)
        }
    }

    /**
     * Closes idle sessions, a few at a time, while this host is cut off: its proof has expired, see [GroupRecords],
     * and it counts fewer than a majority of the hosts, itself included, as alive. It can serve hardly anything then,
     * and other hosts probably can.
     */
    private fun closeIdleSessionsWhenCutOff() {
        val nowMillis = timers.nowMillis()
        val isCutOff = memberNames.isNotEmpty() && !groupRecords.isCurrent(nowMillis) &&
            fleet.aliveCount(nowMillis) < fleet.majority
        if (!isCutOff) {
            cutOffSinceMillis = null
            return
        }
        val since = cutOffSinceMillis ?: nowMillis.also {
            cutOffSinceMillis = it
            log.event("host", "cut_off", "heard", fleet.aliveCount(nowMillis), "members", fleet.size)
        }
        if (nowMillis - since < CUT_OFF_GRACE_MILLIS) return
        for (session in sessions.filter { it.isIdle }.take(CUT_OFF_CLOSE_COUNT)) session.closeWhenIdle()
    }

    private fun onTick() {
        closeIdleSessionsWhenCutOff()
        for (group in groups.values) group.tick()
        for (takeover in takeovers.values) takeover.tick()
    }

    private fun updateGroups() {
        val byGroup = entries.groupBy { it.group }
        val known = byGroup.keys + configuration.groups.keys + groups.keys
        for (id in known) {
            val policy = configuration.groups[id]
            val group = groups.getOrPut(id) { newGroup(id) }
            group.controlCustomer = configuration.customersByKey.values.firstOrNull()?.id?.value
            group.update(byGroup[id] ?: emptyList(), connectionShare(policy?.maxConnections))
        }
    }

    private fun connectionShare(maxConnections: Int?): Int {
        if (maxConnections == null) return MIN_CONNECTIONS
        return maxOf(MIN_CONNECTIONS, (maxConnections - SPARE_CONNECTIONS) / maxOf(1, memberNames.size))
    }

    private fun newGroup(id: DatabaseId): DatabaseGroup {
        val group = DatabaseGroup(id, zone, timers, dialer, groupRecords, log)
        group.onConfirmed = fleet::heartbeat
        group.onPrimaryUnreachable = fleet::heartbeatSoon
        takeovers[id] = Takeover(
            self = "${self.name}#${self.incarnation}",
            group = group,
            fleet = fleet,
            store = store,
            promotion = promotion,
            timers = timers,
            log = log,
            mustQueryAllReplicas = { configuration.groups[id]?.isReplicatedBeforeAcknowledged == true },
            customerName = { group.controlCustomer },
        )
        groupRecords.record(id)?.let(group::onRecord)
        return group
    }

    private fun admit(customer: Customer, isRepeated: Boolean): Admission {
        val nowMillis = timers.nowMillis()
        if (!groupRecords.isCurrent(nowMillis)) {
            return Admission.Refused(RefusalReason.NOT_IN_STANDING, NO_PROOF_RETRY_MILLIS)
        }
        val allowance = customer.allowance ?: return Admission.Admitted
        val admission = if (isRepeated) {
            shares.admitAgain(customer.id, allowance, fleet.size, nowMillis)
        } else {
            shares.admit(customer.id, allowance, fleet.size, nowMillis)
        }
        if (admission is Admission.Refused && !isRepeated) fleet.heartbeatSoon()
        return admission
    }

    override fun demand(nowMillis: Long): List<CustomerDemand> {
        shares.retainHosts(fleet.alivePeers(nowMillis).mapTo(HashSet()) { HostId(it.member.name) })
        return shares.report(fleet.size, nowMillis).map { (customer, use) ->
            CustomerDemand(customer.value, use.demandPerSecond.toFloat(), use.admittedCount)
        }
    }

    public companion object {
        /** How long a session waits for this host to know configuration, fleet members and targets. */
        private const val MAX_OPEN_WAIT_MILLIS = 1_200L

        /** How long this host must be cut off before it closes sessions. */
        private const val CUT_OFF_GRACE_MILLIS = 400L

        /** The most sessions that are closed in one tick while this host is cut off. */
        private const val CUT_OFF_CLOSE_COUNT = 8

        private const val TICK_INTERVAL_MILLIS = 40L
        private const val STOP_POLL_INTERVAL_MILLIS = 50L

        /** How long a stopping host serves new callers, so that the load balancer can take it out. */
        private const val STOP_ACCEPTING_DELAY_MILLIS = 2_200L

        /** The least number of connections that a host may open to each target. */
        private const val MIN_CONNECTIONS = 2

        /** Connections to each target that the hosts leave unused together. */
        private const val SPARE_CONNECTIONS = 2

        /** When a caller may try again that was refused because this host's proof had expired. */
        private const val NO_PROOF_RETRY_MILLIS = 250L
    }
}
