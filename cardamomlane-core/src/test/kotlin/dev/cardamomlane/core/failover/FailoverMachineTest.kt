package dev.cardamomlane.core.failover

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.A
import dev.cardamomlane.core.group.B
import dev.cardamomlane.core.group.C
import dev.cardamomlane.core.group.FENCED
import dev.cardamomlane.core.group.GroupFixture
import dev.cardamomlane.core.group.primary
import dev.cardamomlane.core.group.replica
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class FailoverMachineTest {
    private val group = GroupFixture()
    private val machine = FailoverMachine(HostId("host-1"), "one", group.monitor, Random(1))

    private fun on(event: FailoverEvent = FailoverEvent.Tick) = machine.on(event, group.nowMillis)

    private fun healthy() = group.poll(A to primary("1:9"), B to replica("1:9"), C to replica("1:9"))

    /** Polls every 100 ms without an answer of the primary, and returns the machine's actions. */
    private fun pollWithoutPrimary(millis: Int) = (1..millis / 100).flatMap {
        group.nowMillis += 100
        group.poll(B to replica("1:9"), C to replica("1:8"))
        on()
    }

    private fun suspect() {
        healthy()
        on()
        pollWithoutPrimary(600)
    }

    private fun startFencing() {
        suspect()
        on(FailoverEvent.PeersQueried(0))
        on(FailoverEvent.ClaimAnswered(term = 2, ClaimOutcome.Won))
    }

    private fun grant(target: TargetId, log: String) =
        on(FailoverEvent.FenceAnswered(target, 2, granted = true, replica(log, fence = 2, following = null)))

    @Test
    fun `queries peers once the primary has left polls unanswered for the suspicion time`() {
        healthy()
        on()
        assertEquals(emptyList(), pollWithoutPrimary(400))
        assertEquals(listOf<FailoverAction>(FailoverAction.AskPeers(term = 1)), pollWithoutPrimary(100))
    }

    @Test
    fun `timeouts that fire right after a pause of this process raise no suspicion`() {
        healthy()
        on()
        group.nowMillis = 3_000
        repeat(3) { group.monitor.onFailure(A, sentAtMillis = 100L + it, newConnection = true) }
        assertEquals(emptyList(), on())
    }

    @Test
    fun `repeats unanswered fences and promotes the fenced target with the highest log of a majority`() {
        startFencing()
        grant(C, "1:8")
        group.nowMillis += 150
        assertEquals(listOf(A, B), on().filterIsInstance<FailoverAction.Fence>().map { it.target })
        assertEquals(listOf<FailoverAction>(FailoverAction.Promote(B, 2, "one")), grant(B, "1:9"))
        group.nowMillis += 150
        assertEquals(listOf<FailoverAction>(FailoverAction.Promote(B, 2, "one")), on())

        val done = on(FailoverEvent.PromoteAnswered(B, 2, granted = true))
        assertIs<FailoverAction.AnnounceTerm>(done.first())
        assertEquals(listOf(A, C), done.filterIsInstance<FailoverAction.Follow>().map { it.target })
        assertEquals(B, group.monitor.primary)
    }

    /** Guards against the loss of writes that only a target has which is about to leave, as on the platform (review/6). */
    @Test
    fun `a leaving target is promoted when the others are no majority, so that its writes are kept`() {
        startFencing()
        grant(C, "1:8")
        val leaving = replica("1:9", fence = 2, following = null).copy(leaving = true)

        val next = on(FailoverEvent.FenceAnswered(B, 2, granted = true, leaving))

        assertEquals(listOf<FailoverAction>(FailoverAction.Promote(B, 2, "one")), next)
    }

    @Test
    fun `after a refused fence the next attempt takes a higher term`() {
        startFencing()
        on(FailoverEvent.FenceAnswered(B, 2, granted = false, FENCED.copy(fenceTerm = 5)))
        pollWithoutPrimary(600)
        assertEquals(FailoverAction.ClaimTerm(6, "one"), on(FailoverEvent.PeersQueried(0)).single())
    }

    @Test
    fun `fences without the platform's answer after the claim timeout`() {
        suspect()
        on(FailoverEvent.PeersQueried(0))
        group.nowMillis += 300
        assertTrue(on().any { it is FailoverAction.Fence })
    }

    @Test
    fun `fails over from a leaving primary once transactions had time to finish`() {
        val polls = (1..40).flatMap {
            group.nowMillis += 100
            group.poll(A to primary("1:9", leaving = true), B to replica("1:9"), C to replica("1:9"))
            on().map { action -> group.nowMillis to action }
        }
        val (atMillis, first) = polls.first()
        assertIs<FailoverAction.ClaimTerm>(first)
        assertTrue(atMillis in 1_600..1_900, "claimed at $atMillis")
    }

    @Test
    fun `the least interval between failovers doubles from the fourth one on`() {
        val limit = FailoverRateLimit()
        val intervals = (1..6).map { count ->
            limit.onNewTerm(count * 10L)
            (0L..60_000L step 100).first { limit.allows(count * 10L + it) }
        }
        assertEquals(listOf<Long>(500, 500, 500, 1_000, 2_000, 4_000), intervals)
    }
}
