package dev.cardamomlane.core.fleet

/**
 * Holds the members that are known to have reached this host's own [KnowledgeLevel]. Must be restarted whenever that
 * level rises.
 */
internal class Confirmations(private val self: MemberId) {
    private val confirmed = HashSet<MemberId>()
    private var quorumSinceMillis: Long? = null

    /** Forgets all confirmations except this host's own. */
    fun restart() {
        confirmed.clear()
        confirmed.add(self)
        quorumSinceMillis = null
    }

    fun add(member: MemberId) {
        confirmed.add(member)
    }

    operator fun contains(member: MemberId): Boolean = member in confirmed

    /** Encodes the confirmations of [members] as [PeerAnswer.confirmations]. */
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

    /** Merges the confirmations that a peer with the same [members] and level stated. */
    fun merge(members: List<Member>, bits: ByteArray) {
        members.forEachIndexed { index, member ->
            if (index / BITS < bits.size && bits[index / BITS].toInt() and (1 shl index % BITS) != 0) add(member.id)
        }
    }

    /**
     * True once a quorum of each of [groups] has confirmed for at least [millis], counted from the first call that
     * found the quorum. A member in [ended] counts as having confirmed.
     */
    fun hasHeldQuorum(groups: List<List<Member>>, ended: Set<MemberId>, millis: Long, nowMillis: Long): Boolean {
        val isQuorum = groups.all { group -> count(group, ended) >= Quorum.forSettling(group.size) }
        if (!isQuorum) return false
        val sinceMillis = quorumSinceMillis ?: nowMillis.also { quorumSinceMillis = it }
        return nowMillis - sinceMillis >= millis
    }

    /** True if every member of [groups] has confirmed or is in [ended]. */
    fun isComplete(groups: List<List<Member>>, ended: Set<MemberId>): Boolean =
        groups.all { group -> count(group, ended) == group.size }

    private fun count(group: List<Member>, ended: Set<MemberId>) = group.count { it.id in confirmed || it.id in ended }

    private companion object {
        const val BITS = 8
    }
}
