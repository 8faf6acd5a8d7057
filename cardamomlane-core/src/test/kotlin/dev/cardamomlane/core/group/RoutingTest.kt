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
    fun `nothing is routed after no majority has confirmed the term for too long`() {
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
    fun `a read without a maximum age goes to the primary`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        assertEquals(A, target(group.read(maxAgeMillis = null)))
    }

    @Test
    fun `a read with a maximum age goes to the nearest replica that applied the minimum position`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        assertEquals(B, target(group.read(minimumPosition = "1:9")))
        assertEquals(C, target(group.read(minimumPosition = "1:9", load = { if (it == B) 3 else 0 })))
        assertEquals(C, target(group.read(minimumPosition = "1:9", excluded = setOf(B))))
    }

    @Test
    fun `the required position covers the minimum position and the maximum age`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 900
        group.poll(A to primary("1:20"), B to replica("1:9"), C to replica("1:9"))

        val old = assertIs<RouteChoice.Use>(group.read(maxAgeMillis = 1_000))
        assertEquals(position("1:9"), old.requiredPosition)
        assertEquals(1_000, old.validUntilMillis)

        group.nowMillis = 940
        val recent = assertIs<RouteChoice.Use>(group.read(maxAgeMillis = 500))
        assertEquals(position("1:20"), recent.requiredPosition)
        val atMinimum = assertIs<RouteChoice.Use>(group.read(maxAgeMillis = 1_000, minimumPosition = "1:15"))
        assertEquals(position("1:15"), atMinimum.requiredPosition)
    }

    @Test
    fun `a read goes to the primary when no sample is recent enough for its maximum age`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 800
        assertEquals(A, target(group.read(maxAgeMillis = 500)))
    }

    @Test
    fun `a read waits for a replica that should catch up soon and otherwise goes to the primary`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.nowMillis = 100
        group.monitor.onAcknowledged(position("1:10"), nowMillis = 90)

        assertEquals(RouteChoice.Wait(millis = 14), group.read(minimumPosition = "1:10"))
        repeat(4) { group.monitor.onReplicaBehind(B) }
        repeat(4) { group.monitor.onReplicaBehind(C) }
        assertEquals(A, target(group.read(minimumPosition = "1:10")))
        assertIs<RouteChoice.Wait>(group.read(minimumPosition = "1:10", load = { if (it == A) 100 else 0 }))
    }

    @Test
    fun `a replica that should have caught up is tried before its next report`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        group.monitor.onAcknowledged(position("1:10"), nowMillis = 10)
        group.nowMillis = 60
        assertEquals(B, target(group.read(minimumPosition = "1:10")))
    }

    @Test
    fun `replicas that have another term or primary, are leaving or do not answer get no work`() {
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
    fun `a read is fresh enough only in the required term, at the required position and in time`() {
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
