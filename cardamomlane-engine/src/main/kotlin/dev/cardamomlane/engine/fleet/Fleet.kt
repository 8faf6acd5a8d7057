package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.log.DecisionLog
import kotlin.random.Random

/**
 * This host's view of the other hosts: who they are, what they know, and the proof that passes between them.
 *
 * Each host reads the store when its proof grows old, and tells its proof to the others with its heartbeats, so that
 * few hosts read and a host that the store turns away lives on the word of the others. While nobody reaches the
 * store, the word of a majority of the members that they know of no takeover is proof as well.
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
    private val readiness = StoreReading(timers, store, log, Random(self.name.hashCode() + self.incarnation), ::onRows)
    private val membersListeners = ArrayList<(Set<String>) -> Unit>()
    private var hasRows = false
    private var isRegistering = false
    private var registeredAtMillis = GroupRecords.NEVER
    private var membersHash = 0
    private var heartbeatAtMillis = GroupRecords.NEVER
    private var isHeartbeatDue = false
    private val droppedAtMillis = HashMap<String, Long>()
    private val addedAtMillis = HashMap<Member, Long>()

    /** The other hosts. */
    public val peers: Collection<Peer> get() = peersByName.values

    /** True once the store's rows have been read and hold this host. */
    public val isRegistered: Boolean get() = rows[self.name]?.member == self

    /** How many hosts there are, this one included. */
    public val size: Int get() = peersByName.size + 1

    /** How many members are more than half. */
    public val majority: Int get() = size / 2 + 1

    /** How many members are enough to have one in common with every majority. */
    public val blockingCount: Int get() = size - majority + 1

    /** The newest configuration that a peer knows, and the peer. */
    public fun newestPeerConfiguration(): Pair<Member, Long>? =
        peersByName.values.mapNotNull { peer -> peer.lastHeartbeat?.let { peer.member to it.configurationVersion } }
            .maxByOrNull { it.second }

    /** Calls [listener] with the names of all members after each change. */
    public fun onMembers(listener: (names: Set<String>) -> Unit) {
        membersListeners += listener
    }

    /** Reads the store as soon as possible, as after an event that makes the records doubtful. */
    public fun refresh() {
        readiness.read()
    }

    /** Sends heartbeats and refreshes proof. Called at [HEARTBEAT_MILLIS]. */
    public fun tick() {
        heartbeat()
        val nowMillis = timers.nowMillis()
        learnFromMajority(nowMillis)
        readiness.refresh(groupRecords.provedAtMillis)
        if (!isRegistered && nowMillis - registeredAtMillis > REGISTER_MILLIS) register(nowMillis)
        dropDead(nowMillis)
    }

    /** Sends one heartbeat to every peer. */
    public fun heartbeat() {
        val nowMillis = timers.nowMillis()
        val groups = delegate.groupStatuses(nowMillis)
        val demand = delegate.demand(nowMillis)
        val heard = heardMask(nowMillis)
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
                heardMembers = heard,
                groups = groups,
                demand = demand,
            )
            network.send(peer.member.address, PeerMessage(self.name, self.incarnation, message))
        }
    }

    /** Sends heartbeats early: now, or when the last ones were sent a moment ago, after that moment. */
    public fun heartbeatSoon() {
        if (isHeartbeatDue) return
        val waitMillis = heartbeatAtMillis + EARLY_MILLIS - timers.nowMillis()
        if (waitMillis <= 0) return heartbeat()
        isHeartbeatDue = true
        timers.after(waitMillis) {
            isHeartbeatDue = false
            if (timers.nowMillis() - heartbeatAtMillis >= EARLY_MILLIS) heartbeat()
        }
    }

    /** The other hosts that were heard lately. */
    public fun alivePeers(nowMillis: Long): List<Peer> =
        peersByName.values.filter { it.isAlive(nowMillis, HEARD_MILLIS) }

    /** Takes in a datagram. */
    public fun onMessage(message: PeerMessage) {
        if (message.from == self.name) return
        val peer = peersByName[message.from]
        if (peer == null) {
            readiness.read()
            return
        }
        val heartbeat = message.heartbeat
        val nowMillis = timers.nowMillis()
        if (!peer.hear(message.incarnation, heartbeat, self.incarnation, nowMillis)) return
        val records = heartbeat.groups.mapNotNull { it.record() }
        val hasProof = heartbeat.proofAgeMillis >= 0 && peer.sentNotBeforeMillis > GroupRecords.NEVER
        groupRecords.learn(
            records,
            if (hasProof) peer.sentNotBeforeMillis - heartbeat.proofAgeMillis else GroupRecords.NEVER,
        )
        delegate.onGroupStatuses(peer, heartbeat.groups, nowMillis)
        if (heartbeat.membersHash != membersHash) readiness.read()
    }

    /** The members that were heard lately, this host included. */
    public fun aliveCount(nowMillis: Long): Int = 1 + alivePeers(nowMillis).size

    /** True when the run of a host that [holder] names, as `host#incarnation`, is heard no more. */
    public fun isHolderGone(holder: String, nowMillis: Long): Boolean {
        val peer = peersByName[holder.substringBeforeLast('#')] ?: return true
        return !peer.isAlive(nowMillis, HEARD_MILLIS) || "${peer.member.name}#${peer.incarnation}" != holder
    }

    /** This host's place among the hosts heard lately, by name; the first one leads. */
    public fun rank(nowMillis: Long): Int = alivePeers(nowMillis).count { it.member.name < self.name }

    /** True when every host heard lately knows the same members. */
    public fun agreesOnMembers(nowMillis: Long): Boolean =
        isRegistered && alivePeers(nowMillis).none { it.lastHeartbeat?.membersHash != membersHash }

    /**
     * A takeover promotes only a while after a majority knew of it. So the word of a majority, this host included, is
     * proof as old as the oldest word in it.
     */
    private fun learnFromMajority(nowMillis: Long) {
        if (!isRegistered) return
        val words = peersByName.values.filter { it.lastHeartbeat?.membersHash == membersHash }
            .map { it.sentNotBeforeMillis }
        val needed = majority - 1
        if (needed == 0 || words.size < needed) return
        val sinceMillis = words.sortedDescending()[needed - 1]
        if (nowMillis - sinceMillis < GroupRecords.MAX_AGE_MILLIS) groupRecords.learn(emptyList(), sinceMillis)
    }

    private fun onRows(rows: ControlRows, askedAtMillis: Long) {
        groupRecords.learn(rows.records, askedAtMillis)
        this.rows = rows.members.associateBy { it.member.name }
        val members = rows.members.map { it.member }.filter { it.name != self.name }
        val names = members.mapTo(HashSet()) { it.name }
        val before = if (hasRows) peersByName.keys.toSet() else null
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
            hasRows = true
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
                readiness.read()
            },
            { failure -> log.event("fleet", "registration_failed", "reason", failure.message) },
        )
    }

    private fun dropDead(nowMillis: Long) {
        if (!groupRecords.isCurrent(nowMillis) || rank(nowMillis) != 0 || aliveCount(nowMillis) < majority) return
        val names = memberNames()
        for (peer in peersByName.values) {
            if (peer.isAlive(nowMillis, DEAD_MILLIS) || wasAddedLately(peer, nowMillis)) continue
            val bit = names.indexOf(peer.member.name)
            val isHeardElsewhere = alivePeers(nowMillis).any { hasBit(it.lastHeartbeat?.heardMembers ?: 0, bit) }
            val row = rows[peer.member.name]
            if (isHeardElsewhere || row == null ||
                nowMillis - (droppedAtMillis[row.member.name] ?: GroupRecords.NEVER) < DEAD_MILLIS
            ) {
                continue
            }
            droppedAtMillis[row.member.name] = nowMillis
            log.event("fleet", "member_dropped", "member", row.member.name)
            store.removeMember(row.member.name, row.version).subscribe({ readiness.read() }, {
                log.event("fleet", "member_drop_failed", "member", row.member.name, "reason", it.message)
            })
        }
    }

    private fun wasAddedLately(peer: Peer, nowMillis: Long): Boolean =
        nowMillis - addedAtMillis.getOrPut(peer.member) { nowMillis } < DEAD_MILLIS

    private fun memberNames(): List<String> = (peersByName.keys + self.name).sorted()

    private fun heardMask(nowMillis: Long): Long {
        var mask = 0L
        memberNames().take(Long.SIZE_BITS).forEachIndexed { bit, name ->
            if (peersByName[name]?.isAlive(nowMillis, HEARD_LONG_MILLIS) == true) mask = mask or (1L shl bit)
        }
        return mask
    }

    private fun hasBit(mask: Long, bit: Int): Boolean = bit in 0 until Long.SIZE_BITS && mask and (1L shl bit) != 0L

    public companion object {
        /** The time between two heartbeats. */
        public const val HEARTBEAT_MILLIS: Long = 250

        private const val HEARD_MILLIS = 900L
        private const val EARLY_MILLIS = 60L
        private const val HEARD_LONG_MILLIS = 3_000L
        private const val DEAD_MILLIS = 10_000L
        private const val REGISTER_MILLIS = 1_500L
    }
}
