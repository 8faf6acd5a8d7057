package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
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
 * Not safe for use by several threads.
 */
public class Fleet(
    private val self: Member,
    private val timers: TimerService,
    private val store: ControlStore,
    private val network: PeerNetwork,
    public val groupRecords: GroupRecords,
    private val log: DecisionLog,
    private val delegate: HeartbeatDelegate,
) {
    private var rows: Map<String, MemberRow> = emptyMap()
    private val peersByName = sortedMapOf<String, Peer>()
    private val storeReader = StoreReader(timers, store, log, Random(self.name.hashCode() + self.incarnation), ::onRows)
    private val membersListeners = ArrayList<(Set<String>) -> Unit>()
    private var hasNotifiedMembers = false
    private var isRegistering = false
    private var registeredAtMillis = GroupRecords.NEVER
    private var membersHash = 0
    private var heartbeatAtMillis = GroupRecords.NEVER
    private var isEarlyHeartbeatScheduled = false
    private val removalTriedAtMillis = HashMap<String, Long>()
    private val firstSeenAtMillis = HashMap<Member, Long>()

    /** The other members, alive or not. */
    public val peers: Collection<Peer> get() = peersByName.values

    /** True once the store's rows have been read and include this host. */
    public val isRegistered: Boolean get() = rows[self.name]?.member == self

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
     * Sends heartbeats, renews proof, registers this host if the store does not list it, and removes dead members.
     * Called every [HEARTBEAT_MILLIS].
     */
    public fun tick() {
        heartbeat()
        val nowMillis = timers.nowMillis()
        renewProofFromMajority(nowMillis)
        storeReader.refresh(groupRecords.provedAtMillis)
        if (!isRegistered && nowMillis - registeredAtMillis > REGISTER_RETRY_MILLIS) register(nowMillis)
        removeDeadMembers(nowMillis)
    }

    /** Sends a heartbeat to every peer now. */
    public fun heartbeat() {
        val nowMillis = timers.nowMillis()
        val groups = delegate.groupStatuses(nowMillis)
        val demand = delegate.demand(nowMillis)
        val heardMembers = aliveMask(nowMillis)
        heartbeatAtMillis = nowMillis
        for (peer in peersByName.values) {
            val answered = peer.lastHeartbeat
            val message = Heartbeat(
                sentAtMillis = nowMillis,
                answeredSentAtMillis = answered?.sentAtMillis ?: -1,
                answeredIncarnation = peer.incarnation,
                answeredHeldMillis = if (answered == null) 0 else nowMillis - peer.receivedAtMillis,
                proofAgeMillis = if (groupRecords.isCurrent(nowMillis)) nowMillis - groupRecords.provedAtMillis else -1,
                membersHash = membersHash,
                configurationVersion = delegate.configurationVersion,
                heardMembers = heardMembers,
                groups = groups,
                demand = demand,
            )
            network.send(peer.member.address, PeerMessage(self.name, self.incarnation, message))
        }
    }

    /** Sends heartbeats ahead of schedule, but at least [MIN_HEARTBEAT_GAP_MILLIS] after the last ones. */
    public fun heartbeatSoon() {
        if (isEarlyHeartbeatScheduled) return
        val waitMillis = heartbeatAtMillis + MIN_HEARTBEAT_GAP_MILLIS - timers.nowMillis()
        if (waitMillis <= 0) return heartbeat()
        isEarlyHeartbeatScheduled = true
        timers.after(waitMillis) {
            isEarlyHeartbeatScheduled = false
            if (timers.nowMillis() - heartbeatAtMillis >= MIN_HEARTBEAT_GAP_MILLIS) heartbeat()
        }
    }

    /** The other hosts that are alive: their last heartbeat arrived less than [ALIVE_MILLIS] ago. */
    public fun alivePeers(nowMillis: Long): List<Peer> =
        peersByName.values.filter { it.isAlive(nowMillis, ALIVE_MILLIS) }

    /** Handles a datagram of another host. One of a host that is no known member causes a read of the store. */
    public fun onMessage(message: PeerMessage) {
        if (message.from == self.name) return
        val peer = peersByName[message.from]
        if (peer == null) {
            storeReader.read()
            return
        }
        val heartbeat = message.heartbeat
        val nowMillis = timers.nowMillis()
        if (!peer.receive(message.incarnation, heartbeat, self.incarnation, nowMillis)) return
        val records = heartbeat.groups.mapNotNull { it.record() }
        val hasProof = heartbeat.proofAgeMillis >= 0 && peer.sentNotBeforeMillis > GroupRecords.NEVER
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
        return !peer.isAlive(nowMillis, ALIVE_MILLIS) || "${peer.member.name}#${peer.incarnation}" != holder
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
     */
    private fun renewProofFromMajority(nowMillis: Long) {
        if (!isRegistered) return
        val sendTimesMillis = peersByName.values.filter { it.lastHeartbeat?.membersHash == membersHash }
            .map { it.sentNotBeforeMillis }
        val needed = majority - 1
        if (needed == 0 || sendTimesMillis.size < needed) return
        val sinceMillis = sendTimesMillis.sortedDescending()[needed - 1]
        if (nowMillis - sinceMillis < GroupRecords.MAX_AGE_MILLIS) groupRecords.learn(emptyList(), sinceMillis)
    }

    private fun onRows(rows: ControlRows, sentAtMillis: Long) {
        groupRecords.learn(rows.records, sentAtMillis)
        this.rows = rows.members.associateBy { it.member.name }
        val members = rows.members.map { it.member }.filter { it.name != self.name }
        val names = members.mapTo(HashSet()) { it.name }
        val before = if (hasNotifiedMembers) peersByName.keys.toSet() else null
        peersByName.keys.retainAll(names)
        for (member in members) {
            if (peersByName[member.name]?.member != member) peersByName[member.name] = Peer(member)
        }
        if (!isRegistered) register(timers.nowMillis())
        membersHash = (names + self.name).sorted().hashCode()
        if (peersByName.keys != before) {
            log.event(
                "fleet",
                "members_changed",
                "count",
                size,
                "members",
                (names + self.name).sorted().joinToString(" "),
            )
            membersListeners.forEach { it(names + self.name) }
            hasNotifiedMembers = true
            heartbeat()
        }
    }

    private fun register(nowMillis: Long) {
        if (isRegistering) return
        isRegistering = true
        registeredAtMillis = nowMillis
        store.writeMember(self).doFinally { isRegistering = false }.subscribe(
            { outcome ->
                log.event("fleet", "registration", "outcome", outcome)
                storeReader.read()
            },
            { failure -> log.event("fleet", "registration_failed", "reason", failure.message) },
        )
    }

    private fun removeDeadMembers(nowMillis: Long) {
        if (!groupRecords.isCurrent(nowMillis) || rank(nowMillis) != 0 || aliveCount(nowMillis) < majority) return
        val names = memberNames()
        for (peer in peersByName.values) {
            if (peer.isAlive(nowMillis, DEAD_MILLIS) || isNewlyListed(peer, nowMillis)) continue
            val bit = names.indexOf(peer.member.name)
            val isAliveElsewhere = alivePeers(nowMillis).any { hasBit(it.lastHeartbeat?.heardMembers ?: 0, bit) }
            val row = rows[peer.member.name]
            if (isAliveElsewhere || row == null ||
                nowMillis - (removalTriedAtMillis[row.member.name] ?: GroupRecords.NEVER) < DEAD_MILLIS
            ) {
                continue
            }
            removalTriedAtMillis[row.member.name] = nowMillis
            log.event("fleet", "member_dropped", "member", row.member.name)
            store.removeMember(row.member.name, row.version).subscribe({ storeReader.read() }, {
                log.event("fleet", "member_drop_failed", "member", row.member.name, "reason", it.message)
            })
        }
    }

    private fun isNewlyListed(peer: Peer, nowMillis: Long): Boolean =
        nowMillis - firstSeenAtMillis.getOrPut(peer.member) { nowMillis } < DEAD_MILLIS

    private fun memberNames(): List<String> = (peersByName.keys + self.name).sorted()

    private fun aliveMask(nowMillis: Long): Long {
        var mask = 0L
        memberNames().take(Long.SIZE_BITS).forEachIndexed { bit, name ->
            if (peersByName[name]?.isAlive(nowMillis, REPORTED_ALIVE_MILLIS) == true) mask = mask or (1L shl bit)
        }
        return mask
    }

    private fun hasBit(mask: Long, bit: Int): Boolean = bit in 0 until Long.SIZE_BITS && mask and (1L shl bit) != 0L

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

        /** Heartbeats report the members whose last heartbeat is younger than this. */
        private const val REPORTED_ALIVE_MILLIS = 3_000L

        /**
         * A member is removed when this host got no heartbeat from it for this time, unless an alive host reports that
         * it got one within [REPORTED_ALIVE_MILLIS]. Also the least time between two attempts to remove it, and from
         * its listing to its removal.
         */
        private const val DEAD_MILLIS = 10_000L

        /** The interval at which this host registers until the store lists it. */
        private const val REGISTER_RETRY_MILLIS = 1_500L
    }
}
