package dev.cardamomlane.core.fleet

/** Which members are known to have reached this host's own level. Starts anew whenever that level rises. */
internal class Confirmations(private val self: MemberId) {
    private val confirmed = HashSet<MemberId>()
    private var quorumSinceMillis: Long? = null

    fun restart() {
        confirmed.clear()
        confirmed.add(self)
        quorumSinceMillis = null
    }

    fun add(member: MemberId) {
        confirmed.add(member)
    }

    operator fun contains(member: MemberId): Boolean = member in confirmed

    fun encode(members: List<Member>): ByteArray {
        val bits = ByteArray((members.size + BITS - 1) / BITS)
        members.forEachIndexed { index, member ->
            if (member.id in
                confirmed
            ) {
                bits[index / BITS] = (bits[index / BITS].toInt() or (1 shl index % BITS)).toByte()
            }
        }
        return bits
    }

    fun merge(members: List<Member>, bits: ByteArray) {
        members.forEachIndexed { index, member ->
            if (index / BITS < bits.size && bits[index / BITS].toInt() and (1 shl index % BITS) != 0) add(member.id)
        }
    }

    /** True once a quorum of each of [groups] has held for [millis]; a member in [ended] counts as having confirmed. */
    fun hasHeldQuorum(groups: List<List<Member>>, ended: Set<MemberId>, millis: Long, nowMillis: Long): Boolean {
        val isQuorum = groups.all { group -> count(group, ended) >= Quorum.toSettle(group.size) }
        if (!isQuorum) return false
        val sinceMillis = quorumSinceMillis ?: nowMillis.also { quorumSinceMillis = it }
        return nowMillis - sinceMillis >= millis
    }

    /** True when every member of [groups] confirmed or ended. */
    fun isComplete(groups: List<List<Member>>, ended: Set<MemberId>): Boolean =
        groups.all { group -> count(group, ended) == group.size }

    private fun count(group: List<Member>, ended: Set<MemberId>) = group.count { it.id in confirmed || it.id in ended }

    private companion object {
        const val BITS = 8
    }
}
