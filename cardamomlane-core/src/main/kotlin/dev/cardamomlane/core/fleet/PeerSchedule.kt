package dev.cardamomlane.core.fleet

/**
 * Chooses which members a host asks at each heartbeat.
 *
 * The distances between asker and asked are powers of two in turn, so that what one host knows reaches all of `n` hosts
 * within about `log2(n)` heartbeats while each host asks only a few others.
 */
internal class PeerSchedule(private val self: MemberId) {
    private var turn = 0

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
