package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.log.DecisionLog
import kotlin.random.Random

/**
 * This host's view of the other hosts: which there are, which are alive, and what their heartbeats report.
 *
 * It also renews this host's proof that it knows the newest group records; [GroupRecords] defines proof. A host reads
 * the store when its proof grows old, and its heartbeats carry the records and the age of the proof to the other hosts.
 * So few hosts need to read, and a host that can't reach the store uses the proof of the others. While no host reaches
 * the store, the heartbeats of a majority of the members are proof as well, since they carry the records that these
 * know.
 *
 * Only members exchange heartbeats. [SeatPolicy] bounds their number; a host without a seat has no proof and follows the
 * members through its [directory].
 *
 * Not safe for use by several threads.
 *
 * @param zones every availability zone, in the same order on all hosts
 * @param groups the database groups that this host knows
 */
public class Fleet(
    private val self: Member,
    zones: List<String>,
    groups: () -> Collection<DatabaseGroup>,
    private val timers: TimerService,
    store: ControlStore,
    private val network: PeerNetwork,
    public val groupRecords: GroupRecords,
    private val log: DecisionLog,
    private val delegate: HeartbeatDelegate,
) {
    private val random = Random(self.name.hashCode() + self.incarnation)
    private val compression = HeartbeatCompression()
    private val peersByName = sortedMapOf<String, Peer>()

    /** The control rows in the store. */
    public val controlTable: ControlTable = ControlTable(store)
    private val storeReader = StoreReader(timers, controlTable, log, random, ::onRows)
    private val seatPolicy = SeatPolicy(self, zones, SeatPolicy.SEAT_COUNT, random)
    private val seatKeeper = SeatKeeper(self, seatPolicy, controlTable, storeReader, timers, log)
    private val settlement = EpochSettlement(self.run, this, controlTable, groups, timers, log)
    private val removal = MemberRemoval(this, storeReader, log)
    private var tickedAtMillis = GroupRecords.NEVER
    private var wasRegistered = false

    /** The members' rows that count: the newest ones that were read, unless those may be older than what is known. */
    internal var rows: List<MemberRow> = emptyList()
        private set

    /**
     * True when this host knows every record that a takeover was made under since it became a member: it read the rows
     * of a settled epoch then, and has been a member ever since.
     */
    internal var isInformed: Boolean = false
        private set

    /** The members as a host without a seat knows them. */
    public val directory: MemberDirectory = MemberDirectory(self, timers, network, log, random)

    /** True once members were read from the store. */
    internal var hasReadMembers: Boolean = false
        private set

    /** When the read was sent that brought the newest rows. */
    internal var rowsSentAtMillis: Long = GroupRecords.NEVER
        private set

    private val membersListeners = ArrayList<(Set<String>) -> Unit>()
    private var membersHash = 0
    private var heartbeatAtMillis = GroupRecords.NEVER
    private var isEarlyHeartbeatScheduled = false

    init {
        controlTable.onRestored { if (isRegistered) refresh() }
    }

    /** The other members, alive or not. */
    public val peers: Collection<Peer> get() = peersByName.values

    /** True once the store's rows have been read and include this host. */
    public val isRegistered: Boolean get() = rows.any { it.member == self }

    /** The number of members, this host included. */
    public val size: Int get() = peersByName.size + 1

    /** The smallest number of members that is more than half of them. */
    public val majority: Int get() = size / 2 + 1

    /** The smallest number of members that has a member in common with every majority, and so can block one. */
    public val blockingCount: Int get() = size - majority + 1

    /** The newest configuration version that a peer reported, and that peer; null before the first heartbeat. */
    public fun newestPeerConfiguration(): Pair<Member, Long>? =
        peersByName.values.mapNotNull { peer -> peer.lastHeartbeat?.let { peer.member to it.configurationVersion } }
            .maxByOrNull { it.second }

    /** Calls [listener] with the names of all members, this host included, after each change. */
    public fun onMembers(listener: (names: Set<String>) -> Unit) {
        membersListeners += listener
    }

    /** Reads the store as soon as [StoreReader] allows, as after an event that may have changed the records. */
    public fun refresh() {
        storeReader.read()
    }

    /**
     * As a member, sends heartbeats, renews proof and removes dead members. Otherwise queries the members, and takes a
     * seat that is vacant. Called every [HEARTBEAT_MILLIS].
     */
    public fun tick() {
        val nowMillis = timers.nowMillis()
        if (!isRegistered) return tickWithoutSeat(nowMillis)
        heartbeat()
        renewProofFromMajority(nowMillis)
        storeReader.refresh(groupRecords.provedAtMillis)
        settlement.tick(nowMillis)
        removal.tick(nowMillis)
    }

    private fun tickWithoutSeat(nowMillis: Long) {
        if (nowMillis - tickedAtMillis >= directory.queryIntervalMillis(nowMillis)) {
            tickedAtMillis = nowMillis
            directory.tick()
        }
        val isSilent = nowMillis - directory.answeredAtMillis > SILENT_READ_MILLIS
        if (isSilent || directory.size < SeatPolicy.SEAT_COUNT) storeReader.refresh(rowsSentAtMillis)
    }

    /** Sends a heartbeat to every peer now. */
    public fun heartbeat() {
        val nowMillis = timers.nowMillis()
        val groups = delegate.groupStatuses(nowMillis)
        val demand = delegate.demand(nowMillis)
        val capacities = delegate.capacityReports()
        val details = RecordDetail.of(groupRecords.all)
        val termStarts = TermStart.of(groupRecords.all)
        if (!isRegistered) return
        val heardMembers = heardMembers(nowMillis)
        heartbeatAtMillis = nowMillis
        for (peer in peersByName.values) {
            val answered = peer.lastHeartbeat
            val message = Heartbeat(
                sentAtMillis = nowMillis,
                answeredSentAtMillis = answered?.sentAtMillis ?: -1,
                answeredIncarnation = peer.member.incarnation,
                answeredHeldMillis = if (answered == null) 0 else nowMillis - peer.receivedAtMillis,
                proofAgeMillis = if (groupRecords.isCurrent(nowMillis)) nowMillis - groupRecords.provedAtMillis else -1,
                membersHash = membersHash,
                configurationVersion = delegate.configurationVersion,
                isInformed = isInformed,
                isReady = delegate.isReady,
                heardMembers = heardMembers,
                groups = groups,
                demand = demand,
            )
            val datagram = peer.encoder.encode(self.name, self.incarnation, message)
            val extended = datagram.copy(capacities = capacities, details = details, termStarts = termStarts)
            network.send(peer.member.address, extended)
        }
    }

    /** Sends heartbeats ahead of schedule, but at least [gapMillis] after the last ones. */
    public fun heartbeatSoon(gapMillis: Long = MIN_HEARTBEAT_GAP_MILLIS) {
        if (!isRegistered) return
        val waitMillis = heartbeatAtMillis + gapMillis - timers.nowMillis()
        if (waitMillis <= 0) return heartbeat()
        if (isEarlyHeartbeatScheduled) return
        isEarlyHeartbeatScheduled = true
        timers.after(waitMillis) {
            isEarlyHeartbeatScheduled = false
            if (timers.nowMillis() - heartbeatAtMillis >= gapMillis) heartbeat()
        }
    }

    /** The other hosts that are alive: their last heartbeat arrived less than [ALIVE_MILLIS] ago. */
    public fun alivePeers(nowMillis: Long): List<Peer> =
        peersByName.values.filter { it.isAlive(nowMillis, ALIVE_MILLIS) }

    /** The other alive members that take new operations. */
    public fun readyPeers(nowMillis: Long): List<Member> =
        alivePeers(nowMillis).filter { it.lastHeartbeat?.isReady == true }.map { it.member }

    /** Handles a datagram of another host. A heartbeat of a host that is no known member causes a read of the store. */
    public fun onMessage(message: PeerMessage) {
        if (message.from == self.name) return
        message.query?.let(::answer)
        message.list?.let { directory.onList(message.from, it) }
        if (message.heartbeat != null || message.compressed != null) onHeartbeat(message)
        message.capacities?.let { onCapacities(message, it) }
    }

    /** Reports count only with the heartbeat that they came with, if that is the peer's newest. */
    private fun onCapacities(message: PeerMessage, reports: List<CapacityReport>) {
        val peer = peersByName[message.from] ?: return
        val sentAtMillis = message.heartbeat?.sentAtMillis ?: message.compressed?.sentAtMillis
        val isNewest = sentAtMillis == peer.lastHeartbeat?.sentAtMillis
        if (isNewest && peer.member.incarnation == message.incarnation) {
            delegate.onCapacityReports(peer, reports, timers.nowMillis())
        }
    }

    private fun answer(query: MemberQuery) {
        if (!isRegistered) return
        val list = memberList(timers.nowMillis())
        network.send(query.replyAddress, PeerMessage(self.name, self.incarnation, list = list))
    }

    private fun memberList(nowMillis: Long): MemberList {
        val others = peersByName.values.map { peer ->
            val isAlive = peer.isAlive(nowMillis, ALIVE_MILLIS)
            ListedMember(peer.member, isReady = isAlive && peer.lastHeartbeat?.isReady == true)
        }
        return MemberList(others + ListedMember(self, delegate.isReady), delegate.configurationVersion)
    }

    /** The number of heartbeats that were not dated, see [Peer.isFromFuture]. */
    public var futureHeartbeatCount: Long = 0
        private set

    private fun onHeartbeat(message: PeerMessage) {
        val peer = peersByName[message.from]
        if (peer == null || peer.member.incarnation != message.incarnation) {
            peer?.encoder?.onRestarted()
            storeReader.read()
            return
        }
        val heartbeat = peer.decode(message) ?: return
        if (!PeerMessageCheck.areValid(message.details.orEmpty(), heartbeat)) return
        val nowMillis = timers.nowMillis()
        val wasFromFuture = peer.isFromFuture
        if (!peer.receive(heartbeat, self.incarnation, nowMillis)) return
        if (peer.isFromFuture) {
            futureHeartbeatCount++
            if (!wasFromFuture) log.event("fleet", "heartbeat_from_future", "member", message.from)
        }
        val details = message.details.orEmpty().associateBy { it.group }
        val starts = message.termStarts.orEmpty().associateBy { it.group }
        val records = heartbeat.groups.mapNotNull { it.record(details[it.group], starts[it.group]) }
        val hasProof = isInformed && heartbeat.proofAgeMillis >= 0 && peer.sentNotBeforeMillis > GroupRecords.NEVER
        groupRecords.learn(
            records,
            if (hasProof) peer.sentNotBeforeMillis - heartbeat.proofAgeMillis else GroupRecords.NEVER,
        )
        delegate.onGroupStatuses(peer, heartbeat.groups, nowMillis)
        if (heartbeat.membersHash != membersHash) storeReader.read()
    }

    /** The number of alive members, this host included. */
    public fun aliveCount(nowMillis: Long): Int = 1 + alivePeers(nowMillis).size

    /** True when the incarnation of a host that [holder] names, as `host#incarnation`, is not alive. */
    public fun isHolderGone(holder: String, nowMillis: Long): Boolean {
        val peer = peersByName[holder.substringBeforeLast('#')] ?: return true
        return !peer.isAlive(nowMillis, ALIVE_MILLIS) || "${peer.member.name}#${peer.member.incarnation}" != holder
    }

    /**
     * The number of alive hosts whose names sort before this host's. Rank 0 removes dead members; in a takeover a
     * higher rank waits longer.
     */
    public fun rank(nowMillis: Long): Int = alivePeers(nowMillis).count { it.member.name < self.name }

    /** True when this host is registered and every other alive host reports the same members. */
    public fun agreesOnMembers(nowMillis: Long): Boolean =
        isRegistered && alivePeers(nowMillis).none { it.lastHeartbeat?.membersHash != membersHash }

    /**
     * Renews proof from heartbeats. A takeover promotes only some time after [blockingCount] members knew its
     * record, so every majority, this host included, has one of them. The proof is as old as the oldest heartbeat.
     * Members that may have forgotten a record don't count.
     */
    private fun renewProofFromMajority(nowMillis: Long) {
        if (!isRegistered || !isInformed) return
        val sendTimesMillis = peersByName.values
            .filter { it.lastHeartbeat?.membersHash == membersHash && it.lastHeartbeat?.isInformed == true }
            .map { it.sentNotBeforeMillis }
        val needed = majority - 1
        if (needed == 0 || sendTimesMillis.size < needed) return
        val sinceMillis = sendTimesMillis.sortedDescending()[needed - 1]
        if (nowMillis - sinceMillis < GroupRecords.MAX_AGE_MILLIS) groupRecords.learn(emptyList(), sinceMillis)
    }

    /** Handles rows that were read from the store. Those of an epoch that is not settled may be older than this host's. */
    private fun onRows(newer: ControlRows, sentAtMillis: Long) {
        controlTable.rows = newer
        settlement.onRows(newer)
        if (newer.isSettled) return adopt(newer, sentAtMillis)
        groupRecords.learnRows(newer, GroupRecords.NEVER)
        if (settlement.isUnattended(timers.nowMillis()) && !groupRecords.isCurrent(timers.nowMillis())) {
            isInformed = false
            adopt(newer, sentAtMillis)
        } else if (!isRegistered) {
            directory.onRows(otherMembers(newer))
        }
    }

    /** Rows count as proof only for a member, since a takeover does not wait for other hosts, and in a settled epoch. */
    private fun adopt(newer: ControlRows, sentAtMillis: Long) {
        rows = newer.members
        rowsSentAtMillis = sentAtMillis
        isInformed = isRegistered && (isInformed || newer.isSettled)
        groupRecords.learnRows(newer, if (isInformed) sentAtMillis else GroupRecords.NEVER)
        val members = otherMembers(newer)
        updatePeers(members)
        if (!isRegistered) directory.onRows(members)
        seatKeeper.onRows(rows, directory.isStranded(timers.nowMillis()), newer.unusable.seats)
    }

    private fun otherMembers(rows: ControlRows): List<Member> =
        rows.members.map { it.member }.filter { it.name != self.name }.distinctBy { it.name }

    private fun updatePeers(members: List<Member>) {
        val names = members.mapTo(HashSet()) { it.name }
        val before = if (hasReadMembers) peersByName.keys.toSet() else null
        peersByName.keys.retainAll(names)
        for (member in members) {
            if (peersByName[member.name]?.member == member) continue
            peersByName[member.name] = Peer(member, timers.nowMillis(), compression)
        }
        val all = (if (isRegistered) names + self.name else names).sorted()
        membersHash = all.hashCode()
        if (wasRegistered && !isRegistered) directory.restart()
        if (peersByName.keys == before && wasRegistered == isRegistered) return
        wasRegistered = isRegistered
        hasReadMembers = true
        log.event("fleet", "members_changed", "count", all.size, "members", all.joinToString(" "))
        membersListeners.forEach { it(all.toSet()) }
        heartbeat()
    }

    private fun heardMembers(nowMillis: Long): List<String> =
        peersByName.values.filter { it.isAlive(nowMillis, REPORTED_ALIVE_MILLIS) }.map { it.member.name }

    public companion object {
        /** The interval of heartbeats. */
        public const val HEARTBEAT_MILLIS: Long = 250

        /**
         * A host is alive while its last heartbeat is younger than this. Longer than three intervals of
         * [HEARTBEAT_MILLIS], so two heartbeats in a row may be lost.
         */
        private const val ALIVE_MILLIS = 900L

        /** The least time between the last heartbeats and early ones. Below [HEARTBEAT_MILLIS], or none were early. */
        private const val MIN_HEARTBEAT_GAP_MILLIS = 60L

        /** In place of [MIN_HEARTBEAT_GAP_MILLIS] for news that a takeover waits for. */
        public const val URGENT_HEARTBEAT_GAP_MILLIS: Long = 10

        /** Heartbeats report the members whose last heartbeat is younger than this. */
        private const val REPORTED_ALIVE_MILLIS = 3_000L

        /** A host without a seat reads the store when no member has answered for this time. */
        private const val SILENT_READ_MILLIS = 1_000L
    }
}
