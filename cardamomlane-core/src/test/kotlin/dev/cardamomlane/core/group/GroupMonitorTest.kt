package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class GroupMonitorTest {
    private val group = GroupFixture()
    private val monitor = group.monitor

    @Test
    fun `a minimum position needs a majority of a round that began after the request`() {
        var minimumPosition: LogPosition? = null
        val early = monitor.beginRound(nowMillis = 0)
        monitor.requestMinimumPosition { minimumPosition = it }
        monitor.onStatus(early, B, replica("1:5"), nowMillis = 1)
        monitor.onStatus(early, C, replica("1:5"), nowMillis = 1)
        assertNull(minimumPosition)

        val later = monitor.beginRound(nowMillis = 2)
        monitor.onStatus(later, B, replica("1:6", applied = "1:1"), nowMillis = 3)
        assertNull(minimumPosition)
        monitor.onStatus(later, C, replica("1:5"), nowMillis = 3)
        assertEquals(position("1:6"), minimumPosition)
    }

    @Test
    fun `one round answers every request that waits for it`() {
        val positions = mutableListOf<LogPosition>()
        repeat(3) { monitor.requestMinimumPosition { minimumPosition -> positions += minimumPosition } }
        group.poll(A to primary("1:7"), B to replica("1:5"), C to replica("1:5"))
        assertEquals(List(3) { position("1:7") }, positions)
    }

    @Test
    fun `a minimum position comes from the later term and not from the longer log`() {
        var minimumPosition: LogPosition? = null
        monitor.requestMinimumPosition { minimumPosition = it }
        group.poll(A to primary("1:90"), B to primary("2:10"))
        assertEquals(position("2:10"), minimumPosition)
    }

    @Test
    fun `a round whose majority is fenced beyond the term gives no sample`() {
        group.poll(A to primary("1:9"), B to FENCED, C to FENCED)
        assertIs<RouteChoice.Unavailable>(group.read())
    }

    @Test
    fun `the primary is known from a replica that follows it`() {
        group.poll(B to replica("2:9", fence = 2, following = C))
        assertEquals(2 to C, monitor.term.toInt() to monitor.primary)
    }

    @Test
    fun `an answer to an older round does not replace a newer report`() {
        val old = monitor.beginRound(nowMillis = 0)
        val new = monitor.beginRound(nowMillis = 10)
        monitor.onStatus(new, B, replica("1:9"), nowMillis = 11)
        monitor.onStatus(old, B, replica("1:2"), nowMillis = 12)
        assertEquals(position("1:9"), monitor.report(B)?.status?.applied)
    }

    @Test
    fun `a restarted target may report a lower position`() {
        group.poll(B to replica("1:9"), A to primary("1:9"))
        group.nowMillis = 100
        group.poll(B to replica("1:3", incarnation = "second"), A to primary("1:9"))
        assertEquals(position("1:3"), monitor.report(B)?.status?.applied)
    }

    @Test
    fun `failures count from the first unanswered poll and end with an answer`() {
        group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))
        monitor.onFailure(A, sentAtMillis = 100, newConnection = false)
        monitor.onFailure(A, sentAtMillis = 200, newConnection = true)
        assertEquals(Reachability(0, unansweredSinceMillis = 100, 2, 1), monitor.reachability(A))

        group.nowMillis = 300
        group.poll(A to primary("1:9"))
        monitor.onFailure(A, sentAtMillis = 250, newConnection = true)
        assertEquals(0, monitor.reachability(A).failures)
    }

    @Test
    fun `the lag estimate follows how long a replica stays behind`() {
        repeat(60) { step ->
            group.nowMillis = step * 100L
            val end = 10 + step
            group.poll(A to primary("1:$end"), B to replica("1:${maxOf(1, end - 3)}"), C to replica("1:$end"))
        }
        assertEquals(200.0, monitor.lagMillis(B), absoluteTolerance = 5.0)
        assertEquals(0.0, monitor.lagMillis(C), absoluteTolerance = 5.0)
    }

    @Test
    fun `a long history still holds its oldest and newest entries`() {
        val history = (1L..5_000L).fold(PositionHistory.EMPTY) { all, step -> all.plus(step, LogPosition(1, step)) }
        assertEquals(LogPosition(1, 1), history.positionAt(history.indexSince(0)))
        assertEquals(5_000, history.reachedAtMillis(LogPosition(1, 5_000)))
        assertNull(history.reachedAtMillis(LogPosition(1, 5_001)))
    }
}
