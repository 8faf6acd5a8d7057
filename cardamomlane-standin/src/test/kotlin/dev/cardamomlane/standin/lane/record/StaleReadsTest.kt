package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.target.GroupFixture
import dev.cardamomlane.standin.lane.target.LaneTarget
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Which reads are found to be too old, and which are excused. */
class StaleReadsTest {
    private val fixture = GroupFixture()
    private val commits = ArrayList<CallerCommit>()
    private val reads = ArrayList<CallerRead>()

    private fun found() = StaleReads(commits, fixture.history).find(reads)

    private fun commit(
        id: String,
        acknowledgedMillis: Long,
        session: String = "writer",
        target: LaneTarget = fixture.a,
    ) {
        target.commit(id, mapOf("1a" to id)) {}
        fixture.timers.advance(1)
        commits += CallerCommit(id, session, acknowledgedMillis)
    }

    private fun read(
        id: String,
        target: LaneTarget,
        sentMillis: Long,
        session: String = "reader",
        maxStaleMillis: Long = 500,
    ) {
        fixture.history.onRead(target.name, id, target.lastApplied)
        reads += CallerRead(id, session, sentMillis, maxStaleMillis, seesOwnCommits = true)
    }

    /** Replica b applies nothing more for a long time. */
    private fun delayReplica() {
        fixture.b.lagMillis = 60_000
    }

    @Test
    fun `a read that lacks a commit acknowledged too long before is found`() {
        delayReplica()
        commit("w", acknowledgedMillis = 1_000)
        read("r", fixture.b, sentMillis = 1_501)
        assertContains(found().single(), "r of reader")
    }

    @Test
    fun `a read may lack a commit that was acknowledged shortly before`() {
        delayReplica()
        commit("w", acknowledgedMillis = 1_000)
        read("r", fixture.b, sentMillis = 1_500)
        assertEquals(emptyList(), found())
    }

    @Test
    fun `a read that shows the newest commit is not found`() {
        commit("w", acknowledgedMillis = 1_000)
        read("r", fixture.a, sentMillis = 9_000)
        assertEquals(emptyList(), found())
    }

    @Test
    fun `a read that lacks a commit of its own session is found`() {
        delayReplica()
        commit("w", acknowledgedMillis = 1_000, session = "reader")
        read("r", fixture.b, sentMillis = 1_001)
        assertContains(found().single(), "r of reader")
    }

    @Test
    fun `each run of a read counts, also one whose answer was not taken`() {
        delayReplica()
        commit("w", acknowledgedMillis = 1_000)
        read("r", fixture.a, sentMillis = 2_000)
        fixture.history.onRead("b", "r", fixture.b.lastApplied)
        assertContains(found().single(), "ran at b")
    }

    @Test
    fun `a read at a replaced primary that lacks commits of the new one is found`() {
        commit("old", acknowledgedMillis = 1_000)
        fixture.group.promote("b")
        fixture.timers.advance(300)
        commit("new", acknowledgedMillis = 2_000, target = fixture.b)
        read("r", fixture.a, sentMillis = 3_000)
        assertContains(found().single(), "ran at a")
    }

    @Test
    fun `a commit that a promotion rolled back is excused`() {
        fixture.b.isReceiving = false
        commit("lost", acknowledgedMillis = 1_000)
        fixture.group.promote("b")
        fixture.timers.advance(300 + 1_000)
        read("r", fixture.b, sentMillis = 9_000)
        assertEquals(setOf("lost"), fixture.history.rolledBackCommits)
        assertEquals(emptyList(), found())
    }
}
