package dev.cardamomlane.core.fleet

/**
 * Chooses the members that a host asks at each heartbeat.
 *
 * The distance from the asking to the asked host, in the order of ids, cycles through the powers of two. So what one
 * host knows reaches all `n` hosts within about `log2(n)` heartbeats, while each host asks only a few others.
 */
internal class PeerSchedule(private val self: MemberId) {
    private var turn = 0

    /** Returns [count] of the other [members] to ask at this heartbeat, or all of them if there are fewer. */
    fun next(members: List<Member>, count: Int): List<MemberId> {
        val others = members.map { it.id }.filter { it != self }.sorted()
        if (others.isEmpty()) return others
        if (others.size <= count) return others
        val start = others.count { it < self }
        val chosen = LinkedHashSet<MemberId>()
        var step = turn++
        while (chosen.size < count) {
            chosen += others[(start + distance(step++, others.size)) % others.size]
        }
        return chosen.toList()
    }

    private fun distance(step: Int, size: Int): Int {
        val rounds = Int.SIZE_BITS - size.countLeadingZeroBits()
        val index = step % (rounds + 1)
        return if (index == rounds) step % size else (1 shl index) - 1
    }
}
