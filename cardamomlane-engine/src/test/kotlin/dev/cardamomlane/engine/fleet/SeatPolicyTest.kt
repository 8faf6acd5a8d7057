package dev.cardamomlane.engine.fleet

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class SeatPolicyTest {
    private val zones = listOf("a", "b", "c")
    private val self = member("self", zone = "b", cores = 1.0)

    private fun member(name: String, zone: String = "a", cores: Double = 1.0, incarnation: Long = 1) =
        Member(name, incarnation, address = name, snapshotAddress = name, zone = zone, cores = cores)

    private fun policy(member: Member = self) = SeatPolicy(member, zones, seatCount = 4, Random(1))

    private fun row(seat: Int, name: String, incarnation: Long = 1) =
        MemberRow(seat, member(name, incarnation = incarnation), version = 10L + seat)

    /** When a host that reads the rows every 10 ms first claims a seat, and which one. */
    private fun firstClaim(policy: SeatPolicy, rows: List<MemberRow>): Pair<Long, SeatClaim>? =
        (0L..2_000L step 10).firstNotNullOfOrNull { nowMillis ->
            policy.claim(rows, isStranded = false, nowMillis)?.let { nowMillis to it }
        }

    @Test
    fun `a host takes a vacant seat of its zone soon after it was seen vacant`() {
        val (millis, claim) = assertNotNull(firstClaim(policy(), emptyList()))

        assertEquals(SeatClaim(seat = 1, expectedVersion = 0), claim)
        assertEquals(true, millis <= 100, "$millis ms")
    }

    @Test
    fun `a host takes a seat of another zone only when that zone leaves it vacant for longer`() {
        val rows = listOf(row(1, "x"), row(0, "y"), row(3, "z"))

        val (millis, claim) = assertNotNull(firstClaim(policy(), rows))

        assertEquals(SeatClaim(seat = 2, expectedVersion = 0), claim)
        assertEquals(true, millis >= 400, "$millis ms")
    }

    @Test
    fun `a small host leaves the seats to larger ones for a while`() {
        val (largeMillis, _) = assertNotNull(firstClaim(policy(), emptyList()))
        val (smallMillis, _) = assertNotNull(firstClaim(policy(self.copy(cores = 0.3)), emptyList()))

        assertEquals(true, smallMillis > largeMillis + 200, "$smallMillis ms after $largeMillis ms")
    }

    @Test
    fun `a host that restarts takes its own seat at once, whatever its incarnation`() {
        val rows = listOf(row(0, "x"), row(3, "self", incarnation = 7))

        assertEquals(SeatClaim(seat = 3, expectedVersion = 13), policy().claim(rows, isStranded = false, nowMillis = 0))
    }

    @Test
    fun `a host with a seat, and one that finds all seats taken, claims none`() {
        assertNull(firstClaim(policy(), listOf(MemberRow(seat = 0, self, version = 10))))
        assertNull(firstClaim(policy(), (0..3).map { row(it, "host-$it") }))
    }

    @Test
    fun `a stranded host takes the seat of a lost member under its version`() {
        val rows = (0..3).map { row(it, "host-$it") }

        val claim = assertNotNull(policy().claim(rows, isStranded = true, nowMillis = 0))

        assertEquals(10L + claim.seat, claim.expectedVersion)
    }

    @Test
    fun `a second row of the same host is surplus`() {
        val rows = listOf(row(3, "self"), row(0, "x"), row(1, "self"))

        assertEquals(listOf(3), policy().surplus(rows).map { it.seat })
    }
}
