package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.standin.lane.store.StoreOutage
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.util.Base64
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Promotion, replication, crashes and registration of the targets of a group. */
class TargetGroupTest {
    private val fixture = GroupFixture()
    private val group = fixture.group

    private fun commit(id: String = "w", target: LaneTarget = fixture.a) {
        assertTrue(target.commit(id, mapOf("1a" to id)) {})
        fixture.timers.advance(1)
    }

    private fun promote(target: LaneTarget) {
        assertEquals(PromotionResult.ACCEPTED, group.promote(target.name))
        fixture.timers.advance(300)
    }

    private fun entry(target: String): Map<String, String>? =
        fixture.store.find(PlatformWords.TARGET_TABLE, target)?.value?.let { value ->
            val text = Base64.getDecoder().decode(value).decodeToString()
            Json.parseToJsonElement(text).jsonObject.mapValues { it.value.jsonPrimitive.content }
        }

    @Test
    fun `a commit reaches the replicas after the time of the network`() {
        fixture.a.commit("w", mapOf("1a" to "red")) {}
        assertEquals(0, fixture.b.log.size)
        fixture.timers.advance(1)
        assertEquals(1, fixture.b.log.size)
    }

    @Test
    fun `a commit of a primary that crashes at once reaches nobody`() {
        fixture.a.commit("w", mapOf("1a" to "red")) {}
        fixture.a.crash()
        fixture.timers.advance(100)
        assertEquals(0, fixture.b.log.size)
    }

    @Test
    fun `with a synchronous replica a commit is acknowledged once one has received it`() {
        val fixture = GroupFixture(GroupSettings("archive", syncReplicaCount = 1))
        var acknowledgements = 0
        fixture.a.commit("w", mapOf("1a" to "red")) { acknowledgements++ }
        assertEquals(0, acknowledgements)
        fixture.timers.advance(1)
        assertEquals(1, acknowledgements)
    }

    @Test
    fun `a promotion takes effect later and leads the next term with what was received`() {
        commit()
        assertEquals(PromotionResult.ACCEPTED, group.promote("b"))
        fixture.timers.advance(299)
        assertFalse(fixture.b.isPrimary)
        fixture.timers.advance(1)
        assertTrue(fixture.b.isNewestPrimary)
        assertEquals(2, fixture.b.term)
        assertEquals(1, fixture.b.log.size)
        assertEquals(2, fixture.c.term)
    }

    @Test
    fun `promoting the present primary changes nothing`() {
        promote(fixture.a)
        assertEquals(1, group.newestTerm)
    }

    @Test
    fun `a target that does not run can't be promoted`() {
        fixture.b.crash()
        assertEquals(PromotionResult.NOT_RUNNING, group.promote("b"))
        assertEquals(PromotionResult.NOT_RUNNING, group.promote("nobody"))
    }

    @Test
    fun `an old primary commits until it steps down and its late commits are known`() {
        promote(fixture.b)
        commit("late")
        assertEquals(setOf("late"), fixture.history.lateCommits)
        assertFalse(fixture.b.log.contains("late"))
        fixture.timers.advance(1_000)
        assertFalse(fixture.a.isPrimary)
        assertEquals(setOf("late"), fixture.history.rolledBackCommits)
        assertFalse(fixture.a.commit("more", emptyMap()) {})
    }

    @Test
    fun `an old primary steps down at once when it is told the newer term`() {
        promote(fixture.b)
        group.demote(fixture.a, term = 1)
        assertTrue(fixture.a.isPrimary)
        group.demote(fixture.a, term = 2)
        assertFalse(fixture.a.isPrimary)
    }

    @Test
    fun `a replica that was ahead is rolled back and busy for a moment`() {
        fixture.b.pause(term = 9)
        commit()
        assertEquals(0, fixture.b.log.size)
        promote(fixture.b)
        assertEquals(setOf("w"), fixture.history.rolledBackCommits)
        assertTrue(fixture.c.isRollingBack)
        fixture.timers.advance(200)
        assertFalse(fixture.c.isRollingBack)
    }

    @Test
    fun `a paused replica receives nothing until it is resumed`() {
        fixture.b.pause(term = 2)
        commit()
        assertEquals(0, fixture.b.log.size)
        fixture.b.resume()
        assertEquals(1, fixture.b.log.size)
    }

    @Test
    fun `a pause at a term that is not above the newest has no effect`() {
        fixture.b.pause(term = 1)
        commit()
        assertEquals(1, fixture.b.log.size)
    }

    @Test
    fun `a primary that crashed comes back with its log as a replica of the promoted one`() {
        commit("kept")
        fixture.a.commit("alone", mapOf("1a" to "x")) {}
        fixture.a.crash()
        promote(fixture.b)
        fixture.a.start()
        assertFalse(fixture.a.isPrimary)
        assertTrue(fixture.a.log.contains("kept"))
        assertEquals(setOf("alone"), fixture.history.rolledBackCommits)
    }

    @Test
    fun `a primary that crashed leads again if no other was promoted`() {
        commit()
        fixture.a.crash()
        fixture.a.start()
        assertTrue(fixture.a.isNewestPrimary)
        assertEquals(1, fixture.a.log.size)
    }

    @Test
    fun `a target registers itself, counts its heartbeats and reports a new role at once`() {
        assertEquals("archive", entry("b")?.get(PlatformWords.GROUP))
        assertEquals("1", entry("b")?.get(PlatformWords.SEQUENCE))
        fixture.timers.advance(1_200)
        assertEquals("2", entry("b")?.get(PlatformWords.SEQUENCE))
        promote(fixture.b)
        assertEquals("primary", entry("b")?.get(PlatformWords.ROLE))
    }

    @Test
    fun `the entry of a crashed target is removed after three heartbeats`() {
        fixture.b.crash()
        fixture.timers.advance(3_599)
        assertNotNull(entry("b"))
        fixture.timers.advance(1)
        assertNull(entry("b"))
    }

    @Test
    fun `a target that starts again keeps its entry and counts anew`() {
        fixture.timers.advance(1_200)
        fixture.b.crash()
        fixture.timers.advance(1_000)
        fixture.b.start()
        fixture.timers.advance(1_000)
        assertEquals("1", entry("b")?.get(PlatformWords.SEQUENCE))
        fixture.timers.advance(5_000)
        assertNotNull(entry("b"))
    }

    @Test
    fun `a draining target says so and goes on serving`() {
        fixture.a.drain()
        assertEquals(PlatformWords.DRAINING, entry("a")?.get("state"))
        commit()
        fixture.a.leave()
        assertNull(entry("a"))
    }

    @Test
    fun `a report during an outage of the store is repeated by the next heartbeat`() {
        fixture.storeFaults.outage = StoreOutage.REFUSE
        promote(fixture.b)
        assertEquals("replica", entry("b")?.get(PlatformWords.ROLE))
        fixture.storeFaults.heal()
        fixture.timers.advance(1_200)
        assertEquals("primary", entry("b")?.get(PlatformWords.ROLE))
    }

    /** Guards against a stand-in that takes commits back, which no replica does, so that reads look too old. */
    @Test
    fun `a replica that falls behind keeps what it has applied`() {
        commit("w1")
        fixture.timers.advance(100)
        fixture.b.lagMillis = 5_000
        commit("w2")
        assertEquals(1, fixture.b.appliedCount)
    }

    @Test
    fun `a replica that receives nothing gets all when it receives again`() {
        fixture.b.isReceiving = false
        commit("w")
        assertEquals(0, fixture.b.log.size)
        fixture.b.isReceiving = true
        assertEquals(1, fixture.b.log.size)
    }

    /** Guards against a stand-in that lets a lagging replica of a new term pass for one that holds the term before. */
    @Test
    fun `a replica is at a position of the new term once it has applied all of the terms before`() {
        fixture.c.lagMillis = 5_000
        commit("w")
        promote(fixture.b)
        assertEquals(LogPosition(1, 0), fixture.c.appliedPosition)
        fixture.timers.advance(5_000)
        assertEquals(LogPosition(2, 1), fixture.c.appliedPosition)
    }
}
