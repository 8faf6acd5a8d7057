package dev.cardamomlane.core.group

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RoutingTest {
    private val group = GroupFixture()

    private fun target(choice: RouteChoice) = assertIs<RouteChoice.Use>(choice).target

    @Test
    fun `a write goes to the primary of the highest term only`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        assertEquals(A, target(group.write()))

        group.poll(A to primary("1:9"), B to primary("2:10"), C to replica("2:10", fence = 2, following = B))
        assertEquals(B, target(group.write()))
    }

    @Test
    fun `a fenced primary gets no writes`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.poll(A to primary("1:9", fence = 2), B to replica("1:9"), C to replica("1:9"))
        assertIs<RouteChoice.Wait>(group.write())
    }

    @Test
    fun `nothing is routed once no majority confirms the term`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 1_501
        group.poll(A to primary("1:9"))

        assertIs<RouteChoice.Unavailable>(group.write())
        assertIs<RouteChoice.Unavailable>(group.read())
    }

    @Test
    fun `a majority fenced beyond the known term stops routing`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 1_501
        group.poll(A to primary("1:9"), B to FENCED, C to FENCED)

        assertIs<RouteChoice.Unavailable>(group.write())
    }

    @Test
    fun `a read without a stated age goes to the primary`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        assertEquals(A, target(group.read(maxAgeMillis = null)))
    }

    @Test
    fun `a read with a stated age goes to the nearest replica that applied the floor`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        assertEquals(B, target(group.read(floor = "1:9")))
        assertEquals(C, target(group.read(floor = "1:9", load = { if (it == B) 3 else 0 })))
        assertEquals(C, target(group.read(floor = "1:9", excluded = setOf(B))))
    }

    @Test
    fun `the required position covers the floor and the stated age`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 900
        group.poll(A to primary("1:20"), B to replica("1:9"), C to replica("1:9"))

        val old = assertIs<RouteChoice.Use>(group.read(maxAgeMillis = 1_000))
        assertEquals(position("1:9"), old.requiredPosition)
        assertEquals(1_000, old.validUntilMillis)

        group.nowMillis = 940
        val recent = assertIs<RouteChoice.Use>(group.read(maxAgeMillis = 500))
        assertEquals(position("1:20"), recent.requiredPosition)
        val floor = assertIs<RouteChoice.Use>(group.read(maxAgeMillis = 1_000, floor = "1:15"))
        assertEquals(position("1:15"), floor.requiredPosition)
    }

    @Test
    fun `a stated age without a recent sample leaves the primary`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 800
        assertEquals(A, target(group.read(maxAgeMillis = 500)))
    }

    @Test
    fun `waits for a replica that is expected soon and else uses the primary`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 100
        group.monitor.onAcknowledged(position("1:10"), nowMillis = 90)

        assertEquals(RouteChoice.Wait(millis = 14), group.read(floor = "1:10"))
        repeat(4) { group.monitor.onMissed(B) }
        repeat(4) { group.monitor.onMissed(C) }
        assertEquals(A, target(group.read(floor = "1:10")))
        assertIs<RouteChoice.Wait>(group.read(floor = "1:10", load = { if (it == A) 100 else 0 }))
    }

    @Test
    fun `a replica that should have caught up is tried before its next report`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.monitor.onAcknowledged(position("1:10"), nowMillis = 10)
        group.nowMillis = 60
        assertEquals(B, target(group.read(floor = "1:10")))
    }

    @Test
    fun `replicas of another term or primary, leaving or silent ones get no work`() {
        val unusable = listOf(
            FENCED,
            replica("1:9", following = C),
            replica("1:9", leaving = true),
            primary("1:9", fence = 2),
        )
        for (status in unusable) {
            val each = GroupFixture()
            each.poll(A to primary("1:9"), C to replica("1:9"), B to status)
            assertEquals(C, target(each.read()), "with $status")
        }
        group.poll(A to primary("1:9"), C to replica("1:9"))
        assertEquals(C, target(group.read()))
    }

    @Test
    fun `a leaving primary gets no new work`() {
        group.poll(A to primary("1:9", leaving = true), B to replica("1:9"), C to replica("1:9"))
        assertIs<RouteChoice.Wait>(group.write())
    }

    @Test
    fun `a read counts only in the same term, at the position and in time`() {
        val requirement = ReadRequirement(term = 2, position = position("2:5"), validUntilMillis = 100)
        val cases = listOf(
            Triple(PositionAnswer(position("2:5"), TargetRole.REPLICA, fenceTerm = 2), 100L, true),
            Triple(PositionAnswer(position("2:4"), TargetRole.REPLICA, fenceTerm = 2), 100L, false),
            Triple(PositionAnswer(position("1:90"), TargetRole.PRIMARY, fenceTerm = 1), 100L, false),
            Triple(PositionAnswer(position("2:5"), TargetRole.REPLICA, fenceTerm = 3), 100L, false),
            Triple(PositionAnswer(position("2:5"), TargetRole.REPLICA, fenceTerm = 2), 101L, false),
        )
        for ((answer, sentAtMillis, fresh) in cases) {
            assertEquals(fresh, isFreshEnough(answer, requirement, sentAtMillis), "$answer at $sentAtMillis")
        }
    }
}
