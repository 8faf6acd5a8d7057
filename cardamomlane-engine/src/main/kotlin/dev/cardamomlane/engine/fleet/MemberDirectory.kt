package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.log.DecisionLog
import kotlin.random.Random

/**
 * The members as a host without a seat knows them: which there are, and which of them take operations.
 *
 * It queries two members at each tick, whatever the number of members or hosts: one that stays the same while it
 * answers, and the others in turn. Each answer lists all members, so one answer is enough to know them.
 *
 * Not safe for use by several threads.
 */
public class MemberDirectory(
    private val self: Member,
    private val timers: TimerService,
    private val network: PeerNetwork,
    private val log: DecisionLog,
    private val random: Random,
) {
    private val entries = LinkedHashMap<String, Entry>()
    private var turn = random.nextInt(MAX_START_TURN)
    private var homeName: String? = null

    /** When a member last answered, or when this host started to ask. */
    public var answeredAtMillis: Long = timers.nowMillis()
        private set

    /** Called with a member and the version of its configuration at each answer. */
    public var onConfigurationVersion: (Member, Long) -> Unit = { _, _ -> }

    /** Called when a member has become usable. */
    public var onUsable: () -> Unit = {}

    /** The number of known members, usable or not. */
    public val size: Int get() = entries.size

    /** Begins to ask anew, after this host has lost its seat: the silence before does not count. */
    internal fun restart() {
        answeredAtMillis = timers.nowMillis()
    }

    /** Replaces the members by those that were read from the store. Queries new ones at once while none is usable. */
    internal fun onRows(members: Collection<Member>) {
        val hasNew = members.any { it.name != self.name && entries[it.name]?.member != it }
        replace(members)
        if (hasNew && usable(timers.nowMillis()).isEmpty()) tick()
    }

    private fun replace(members: Collection<Member>) {
        entries.keys.retainAll(members.mapTo(HashSet()) { it.name })
        for (member in members) {
            if (member.name != self.name && entries[member.name]?.member != member) {
                entries[member.name] = Entry(member)
            }
        }
    }

    /** Records the answer of the member [from]. */
    internal fun onList(from: String, list: MemberList) {
        val nowMillis = timers.nowMillis()
        answeredAtMillis = nowMillis
        val hadUsable = usable(nowMillis).isNotEmpty()
        replace(list.members.map { it.member })
        entries[from]?.answeredAtMillis = nowMillis
        for (listed in list.members) entries[listed.member.name]?.listed(from, listed.isReady, nowMillis)
        entries[from]?.let { onConfigurationVersion(it.member, list.configurationVersion) }
        if (!hadUsable && usable(nowMillis).isNotEmpty()) {
            log.event("forward", "members_usable", "count", usable(nowMillis).size)
            onUsable()
        }
    }

    /** Queries two members. Called every [queryIntervalMillis]. */
    internal fun tick() {
        if (entries.isEmpty()) return
        val nowMillis = timers.nowMillis()
        val members = entries.values.toList()
        val home = homeName?.let(entries::get)?.takeIf { nowMillis - it.answeredAtMillis < HOME_SILENCE_MILLIS }
            ?: members.filter { it.isUsable(nowMillis) }.ifEmpty { members }.random(random)
        homeName = home.member.name
        query(home.member)
        query(members[turn++ % members.size].member)
    }

    /** The interval between two calls of [tick]: shorter while this host can't serve, as no member is usable. */
    internal fun queryIntervalMillis(nowMillis: Long): Long =
        if (usable(nowMillis).isEmpty()) UNSERVED_QUERY_INTERVAL_MILLIS else QUERY_INTERVAL_MILLIS

    private fun query(member: Member) {
        network.send(member.address, PeerMessage(self.name, self.incarnation, query = MemberQuery(self.address)))
    }

    /** The members that take operations, as far as this host knows. */
    public fun usable(nowMillis: Long): List<Member> =
        entries.values.filter { it.isUsable(nowMillis) }.map { it.member }

    /** Records that the member [name] takes no new operations, as it told itself. */
    public fun leaving(name: String) {
        entries[name]?.let {
            it.isReady = false
            it.avoidedUntilMillis = timers.nowMillis() + AVOID_MILLIS
        }
    }

    /** True when no member has answered for so long that the members are taken to be lost. */
    internal fun isStranded(nowMillis: Long): Boolean = nowMillis - answeredAtMillis > STRANDED_MILLIS

    private class Entry(val member: Member) {
        var isReady = false
        var readyAtMillis = GroupRecords.NEVER
        var answeredAtMillis = GroupRecords.NEVER
        var avoidedUntilMillis = GroupRecords.NEVER

        /** The member's own word counts more than what others say of it, which may be older. */
        fun listed(from: String, isReady: Boolean, nowMillis: Long) {
            if (from != member.name && nowMillis - answeredAtMillis < OWN_WORD_MILLIS) return
            this.isReady = isReady
            if (isReady) readyAtMillis = nowMillis
        }

        fun isUsable(nowMillis: Long): Boolean =
            isReady && nowMillis - readyAtMillis < LIST_MAX_AGE_MILLIS && nowMillis >= avoidedUntilMillis
    }

    public companion object {
        /** The interval of [tick], and the one while no member is usable. */
        private const val QUERY_INTERVAL_MILLIS = 500L
        private const val UNSERVED_QUERY_INTERVAL_MILLIS = 250L

        /** How long a list of members counts, when no newer one arrives. Several queries in a row may be lost. */
        private const val LIST_MAX_AGE_MILLIS = 3_000L

        /** A member that has not answered for this time is no longer queried at every tick. */
        private const val HOME_SILENCE_MILLIS = 1_400L

        /** For how long what a member said of itself goes before what others say of it. */
        private const val OWN_WORD_MILLIS = 700L

        /** How long a member is left out after it failed. */
        private const val AVOID_MILLIS = 1_000L

        /** How long no member must have answered before its seat may be taken by force. */
        private const val STRANDED_MILLIS = 12_000L

        private const val MAX_START_TURN = 1_000
    }
}
