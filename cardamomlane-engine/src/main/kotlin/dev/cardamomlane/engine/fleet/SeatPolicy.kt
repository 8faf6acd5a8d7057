package dev.cardamomlane.engine.fleet

import kotlin.random.Random

/**
 * Decides whether and when this host takes a seat, so that a bounded number of hosts serve operations however large the
 * fleet is.
 *
 * Seats are dealt to the availability zones in turn. A host first takes a vacant seat of its zone, and soon after one
 * of any zone. Hosts with more processor time go first, and a random delay keeps the others from all writing at once.
 * A host that restarts takes its own seat again at once.
 *
 * Not safe for use by several threads.
 *
 * @param zones every availability zone, in the same order on all hosts
 */
internal class SeatPolicy(
    private val self: Member,
    private val zones: List<String>,
    private val seatCount: Int,
    private val random: Random,
) {
    private var vacantSinceMillis: Long? = null
    private val delayMillis = capacityDelayMillis() + random.nextLong(MAX_JITTER_MILLIS)

    /**
     * The seat to take now, given the newest [rows], or null. Call it with rows that were just read.
     *
     * @param isStranded true when this host has reached no majority of the members for so long that they are taken to
     *   be lost; then seats of members may be taken
     * @param unusableSeats the versions of the rows of vacant seats that hold something else than a member
     */
    fun claim(
        rows: Collection<MemberRow>,
        isStranded: Boolean,
        nowMillis: Long,
        unusableSeats: Map<Int, Long> = emptyMap(),
    ): SeatClaim? {
        val own = rows.filter { it.member.name == self.name }.minByOrNull { it.seat }
        if (own != null) {
            vacantSinceMillis = null
            return if (own.member == self) null else SeatClaim(own.seat, own.version)
        }
        val vacant = (0 until seatCount) - rows.mapTo(HashSet()) { it.seat }
        if (vacant.isEmpty()) {
            vacantSinceMillis = null
            return if (isStranded) rows.random(random).let { SeatClaim(it.seat, it.version) } else null
        }
        val waitedMillis = nowMillis - (vacantSinceMillis ?: nowMillis.also { vacantSinceMillis = it })
        if (waitedMillis < delayMillis) return null
        val inZone = vacant.filter { zoneOf(it) == self.zone }
        val choice = inZone.ifEmpty {
            if (waitedMillis <
                delayMillis + OTHER_ZONE_DELAY_MILLIS
            ) {
                return null
            } else {
                vacant
            }
        }
        val seat = choice.random(random)
        return SeatClaim(seat, expectedVersion = unusableSeats[seat] ?: 0)
    }

    /** The rows beyond the first that name this host, left by a write whose answer was lost. */
    fun surplus(rows: Collection<MemberRow>): List<MemberRow> =
        rows.filter { it.member.name == self.name }.sortedBy { it.seat }.drop(1)

    /** In how many milliseconds the rows should be read again to take a seat that was seen vacant; null for never. */
    fun dueInMillis(nowMillis: Long): Long? = vacantSinceMillis?.let { since ->
        val dueMillis = since + delayMillis
        if (nowMillis < dueMillis) dueMillis - nowMillis else OTHER_ZONE_DELAY_MILLIS
    }

    private fun zoneOf(seat: Int): String? = if (zones.isEmpty()) self.zone else zones[seat % zones.size]

    private fun capacityDelayMillis(): Long =
        ((1.0 - self.cores).coerceIn(0.0, 1.0) * MAX_CAPACITY_DELAY_MILLIS).toLong()

    companion object {
        /** How many hosts serve operations in a fleet of any size. */
        const val SEAT_COUNT = 9

        /** How long a host without any processor time would wait before it takes a seat; others wait less. */
        private const val MAX_CAPACITY_DELAY_MILLIS = 400.0

        /** The upper bound of the random delay before a seat is taken. */
        private const val MAX_JITTER_MILLIS = 100L

        /** How much later than the hosts of a seat's zone another host takes it. */
        private const val OTHER_ZONE_DELAY_MILLIS = 400L
    }
}
