package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.takeover.PromotionDecision.Keep
import dev.cardamomlane.core.takeover.PromotionDecision.Promote
import dev.cardamomlane.core.takeover.PromotionDecision.Wait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.test.Test
import kotlin.test.assertEquals

/** In each table `p` is the primary that is to be replaced, and `r1` and `r2` are its replicas. */
class PromotionRuleTest {
    private fun replica(offset: Long, term: Long = 1) = LogReport(isPrimary = false, term, LogPosition(term, offset))

    private fun primary(offset: Long, term: Long = 1) = LogReport(isPrimary = true, term, LogPosition(term, offset))

    private fun target(
        id: String,
        answer: LogReport?,
        servesWork: Boolean = true,
        isNotRunning: Boolean = false,
        isGone: Boolean = false,
        received: LogPosition? = answer?.received,
    ) = TargetFacts(TargetId(id), answer, received, servesWork, isNotRunning, isGone)

    private fun decide(
        vararg targets: TargetFacts,
        isPlanned: Boolean = false,
        isReplicated: Boolean = true,
        startOfTerm: LogPosition? = null,
        term: Long = 1,
        knowsAllTargets: Boolean = true,
        waitedMillis: Long = 0,
    ) = PromotionRule.decide(
        TakeoverFacts(
            primary = TargetId("p"),
            term = term,
            startOfTerm = startOfTerm,
            isPlanned = isPlanned,
            isReplicated = isReplicated,
            targets = targets.toList().toImmutableList(),
            knowsAllTargets = knowsAllTargets,
            waitedMillis = waitedMillis,
        ),
    )

    private fun promote(id: String, vararg leftOut: String) =
        Promote(TargetId(id), leftOut.map(::TargetId).toImmutableList())

    private fun waitFor(vararg ids: String) = Wait(ids.map(::TargetId).toImmutableList())

    /** Guards against a takeover that passes over the only replica with the newest commits because it takes no new work. */
    @Test
    fun `a replica that takes no new work leads if it has more than the others`() {
        val silent = target("p", answer = null)

        assertEquals(
            promote("r1"),
            decide(silent, target("r1", replica(9), servesWork = false), target("r2", replica(5))),
        )
        assertEquals(
            promote("r2"),
            decide(silent, target("r1", replica(5), servesWork = false), target("r2", replica(9))),
        )
        assertEquals(
            promote("r2"),
            decide(silent, target("r1", replica(9), servesWork = false), target("r2", replica(9))),
        )
    }

    /** Guards against a group that stays without a primary because all its replicas are about to end. */
    @Test
    fun `a replica that takes no new work leads if there is no other one`() {
        val r1 = target("r1", replica(9), servesWork = false)
        val r2 = target("r2", replica(5), servesWork = false)

        assertEquals(promote("r1"), decide(target("p", answer = null), r1, r2))
    }

    @Test
    fun `a replica that has not answered is waited for until it does, counts as gone, or the time is over`() {
        val silent = target("p", answer = null)
        val r1 = target("r1", replica(5))
        val limitMillis = PromotionRule.REPLICA_WAIT_MILLIS

        assertEquals(waitFor("r2"), decide(silent, r1, target("r2", answer = null), waitedMillis = limitMillis - 1))
        assertEquals(promote("r2"), decide(silent, r1, target("r2", replica(9)), waitedMillis = limitMillis - 1))
        assertEquals(promote("r1"), decide(silent, r1, target("r2", answer = null, isGone = true)))
        assertEquals(promote("r1", "r2"), decide(silent, r1, target("r2", answer = null), waitedMillis = limitMillis))
    }

    /** Guards against a change between query and order: the replica with the longest log ends before it is promoted. */
    @Test
    fun `a replica that had the longest log when it answered is waited for when it is silent or can't be promoted`() {
        val silent = target("p", answer = null)
        val r2 = target("r2", replica(5))

        assertEquals(waitFor("r1"), decide(silent, target("r1", answer = null, received = LogPosition(1, 9)), r2))
        assertEquals(waitFor("r1"), decide(silent, target("r1", replica(9), isNotRunning = true), r2))
        assertEquals(promote("r2"), decide(silent, target("r1", answer = null, received = LogPosition(1, 5)), r2))
    }

    @Test
    fun `a host that has just started waits, since it may not know of a replica that has left`() {
        val targets = arrayOf(target("p", answer = null), target("r1", replica(5)))

        assertEquals(waitFor(), decide(*targets, knowsAllTargets = false))
        assertEquals(promote("r1"), decide(*targets, knowsAllTargets = true))
    }

    @Test
    fun `no replica is waited for when the chosen one has all that the old primary has`() {
        val r1 = target("r1", replica(9))
        val r2 = target("r2", answer = null)

        assertEquals(promote("r1"), decide(target("p", primary(9)), r1, r2, isPlanned = true))
        assertEquals(promote("r1"), decide(target("p", primary(9)), r1, r2, isPlanned = false))
    }

    @Test
    fun `an old primary that answers is kept when no replica surely has every acknowledged commit`() {
        val old = target("p", primary(9))
        val r1 = target("r1", replica(5))
        val r2 = target("r2", answer = null)
        val lateMillis = PromotionRule.CATCH_UP_MILLIS + 1

        assertEquals(Wait(), decide(old, r1, r2))
        assertEquals(
            Keep("no replica surely has every acknowledged commit"),
            decide(old, r1, r2, waitedMillis = lateMillis),
        )
        assertEquals(Keep("no replica caught up"), decide(old, r1, r2, isPlanned = true, waitedMillis = lateMillis))
    }

    @Test
    fun `a handover goes to a replica that takes new work only`() {
        val old = target("p", primary(9))
        val leaving = target("r1", replica(9), servesWork = false)

        assertEquals(promote("r2"), decide(old, leaving, target("r2", replica(9)), isPlanned = true))
        assertEquals(Wait(), decide(old, leaving, target("r2", replica(5)), isPlanned = true))
    }

    /** Guards against the loss of commits for which the primary was promoted, when it ends before a replica has them. */
    @Test
    fun `a primary that was promoted is waited for until a replica has its log up to the start of its term`() {
        val start = LogPosition(1, 9)
        val ended = target("p", answer = null)

        assertEquals(waitFor("p"), decide(ended, target("r1", replica(5)), startOfTerm = start, term = 2))
        assertEquals(waitFor("p"), decide(ended, target("r1", replica(5, term = 2)), startOfTerm = start, term = 2))
        assertEquals(promote("r1"), decide(ended, target("r1", replica(9)), startOfTerm = start, term = 2))
        assertEquals(promote("r1"), decide(ended, target("r1", replica(9, term = 2)), startOfTerm = start, term = 2))
        assertEquals(
            promote("r1"),
            decide(target("p", answer = null, isGone = true), target("r1", replica(5)), startOfTerm = start, term = 2),
        )
    }

    @Test
    fun `a primary that was promoted and answers is kept while no replica has its log up to the start of its term`() {
        val old = target("p", primary(9, term = 2))
        val r1 = target("r1", replica(5, term = 2))

        val decision = decide(old, r1, startOfTerm = LogPosition(1, 9), term = 2, waitedMillis = 1_000)

        assertEquals(Keep("no replica surely has every acknowledged commit"), decision)
    }

    /** Guards against the choice of a replica by the term that it reports, though it has received nothing in that term. */
    @Test
    fun `a replica that knows the new term but lacks its start is behind one that has all of the term before`() {
        val r1 = target("r1", replica(5, term = 2))
        val r2 = target("r2", replica(9, term = 1))

        assertEquals(
            promote("r2"),
            decide(target("p", answer = null), r1, r2, startOfTerm = LogPosition(1, 9), term = 2),
        )
    }

    /** Guards against the loss of commits that an earlier primary has and the last one was promoted with. */
    @Test
    fun `a primary of an earlier term is waited for while no replica has the log up to the start of the last term`() {
        val ended = target("p", answer = null, isGone = true)
        val earlier = target("r2", primary(9, term = 1))
        val start = LogPosition(1, 9)

        val behind = decide(ended, target("r1", replica(5, term = 2)), earlier, startOfTerm = start, term = 2)
        val caughtUp = decide(ended, target("r1", replica(9, term = 2)), earlier, startOfTerm = start, term = 2)

        assertEquals(listOf(waitFor("r2"), promote("r1")), listOf(behind, caughtUp))
    }

    @Test
    fun `a primary of an earlier term that has not stepped down leads no one and is not waited for`() {
        val formerPrimary = target("r2", primary(20, term = 1))

        assertEquals(
            promote("r1"),
            decide(target("p", answer = null), target("r1", replica(9, term = 2)), formerPrimary, term = 2),
        )
    }

    @Test
    fun `where a commit waits for no replica, the longest log among those that serve is promoted at once`() {
        val silent = target("p", answer = null)
        val leaving = target("r1", replica(9), servesWork = false)
        val r2 = target("r2", replica(5))

        assertEquals(promote("r2"), decide(silent, leaving, r2, isReplicated = false))
        assertEquals(promote("r2"), decide(silent, target("r1", answer = null), r2, isReplicated = false))
        assertEquals(Wait(), decide(silent, leaving, isReplicated = false))
        assertEquals(promote("r2"), decide(target("p", primary(9)), r2, isReplicated = false))
        assertEquals(
            Wait(persistentListOf()),
            decide(target("p", primary(9)), r2, isReplicated = false, isPlanned = true),
        )
    }
}
