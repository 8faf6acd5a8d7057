package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.operator.Operator
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.record.CallerCommit
import dev.cardamomlane.standin.lane.record.StaleReads
import dev.cardamomlane.standin.lane.target.Commit
import dev.cardamomlane.standin.lane.target.GroupFixture
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** What is found while routes change: the configuration of revision 12 replaces the first one at [CHANGE_MILLIS]. */
class RouteChecksTest {
    private val fixture = GroupFixture()
    private val commits = ArrayList<CallerCommit>()
    private val statements = ArrayList<SoakStatement>()
    private val effects = ArrayList<RouteEffect>()
    private val disturbances = ArrayList<Disturbance>()
    private val first = OperatorConfig.first(OperatorConfig.Group("archive", 34), customerCount = 1, ratePerSecond = 83)
    private var published = listOf(Operator.Publication(first, atMillis = 0))

    private fun checks() = RouteChecks(
        statements,
        fixture.history,
        StaleReads(commits, fixture.history),
        RouteHistory(published, effects, disturbances),
    ) { _, _ -> true }

    private fun change(change: (OperatorConfig.Route) -> OperatorConfig.Route?) {
        val next = first.withRoutes(first.routes.mapNotNull { if (it.database == DATABASE) change(it) else it })
        published = published + Operator.Publication(next, CHANGE_MILLIS)
    }

    private fun toSession() = change { it.copy(type = PlatformWords.SESSION) }

    private fun toSecondGroup() = change { it.copy(group = "annex") }

    private fun seen(atMillis: Long) {
        effects += RouteEffect("h", revision = 12, atMillis)
    }

    /** A commit of [session], which replica b does not apply. */
    private fun commit(session: String = "s", acknowledgedMillis: Long = CHANGE_MILLIS - 200) {
        fixture.b.lagMillis = 60_000
        fixture.a.commit("w", mapOf("1a" to "w")) {}
        fixture.timers.advance(1)
        commits += CallerCommit("w", session, acknowledgedMillis)
    }

    private fun read(
        id: String,
        sentMillis: Long,
        target: String? = "b",
        last: Commit? = fixture.b.lastApplied,
        code: String? = null,
        session: String = "s",
    ) {
        if (target != null) fixture.history.onRead(target, id, last)
        statements += SoakStatement(
            host = "h",
            key = "key",
            session = session,
            database = DATABASE,
            operationId = id,
            operationMillis = sentMillis,
            isRead = true,
            isCommit = false,
            sentMillis = sentMillis,
            endedMillis = sentMillis + 10,
            answer = CallerAnswer(id, code, digest = "b.1"),
        )
    }

    @Test
    fun `a session that misses its own commit once its new route has taken effect is found`() {
        commit()
        toSession()
        seen(CHANGE_MILLIS + 100)
        read("r", CHANGE_MILLIS + 400)
        assertContains(checks().tooOld().single(), "r of s")
    }

    @Test
    fun `an old route may decide until the bound`() {
        commit()
        toSession()
        read("early", CHANGE_MILLIS + 400)
        assertEquals(emptyList(), checks().tooOld())

        read("late", CHANGE_MILLIS + 3_300)
        assertContains(checks().tooOld().single(), "late of s")
    }

    @Test
    fun `an effect that a host has seen says nothing of its next process`() {
        commit()
        toSession()
        seen(CHANGE_MILLIS + 100)
        disturbances += Disturbance(DisturbanceKind.HOST_KILL, "h", CHANGE_MILLIS + 150, CHANGE_MILLIS + 300)
        read("r", CHANGE_MILLIS + 400)
        assertEquals(emptyList(), checks().tooOld())
    }

    @Test
    fun `a commit in the log of another group need not be seen`() {
        commit()
        toSecondGroup()
        seen(CHANGE_MILLIS + 100)
        read("r", CHANGE_MILLIS + 3_300, target = "x", last = null)
        assertEquals(emptyList(), checks().tooOld() + checks().foreignRuns())
    }

    @Test
    fun `a read at the group that its database has left is found`() {
        toSecondGroup()
        seen(CHANGE_MILLIS + 100)
        read("early", CHANGE_MILLIS + 200)
        assertEquals(emptyList(), checks().foreignRuns())

        read("late", CHANGE_MILLIS + 400)
        assertEquals(listOf("late ran at b"), checks().foreignRuns())
    }

    @Test
    fun `a database that is called unknown although it has a route is found`() {
        change { null }
        seen(CHANGE_MILLIS + 100)
        read("before", CHANGE_MILLIS - 500, target = null, code = PlatformWords.UNKNOWN_DATABASE)
        read("after", CHANGE_MILLIS + 400, target = null, code = PlatformWords.UNKNOWN_DATABASE)
        assertEquals(listOf("before"), checks().wronglyUnknown())
    }

    /** The session reads once before its database moves, and is refused after that. */
    private fun refuseMovedSession() {
        toSecondGroup()
        seen(CHANGE_MILLIS + 100)
        read("first", CHANGE_MILLIS - 500)
        repeat(5) { read("r$it", CHANGE_MILLIS + 1_000 + 300L * it, target = null, code = PlatformWords.BUSY) }
    }

    @Test
    fun `a session that is refused since its database moved is found`() {
        refuseMovedSession()
        repeat(5) { read("o$it", CHANGE_MILLIS + 1_000 + 250L * it, target = "x", last = null, session = "other") }
        assertContains(checks().unservedSessions().single(), "s since")
        assertContains(checks().summary(), "1 at another group with 0 of 5 reads served")
    }

    @Test
    fun `a session that is refused as all others are is not found`() {
        refuseMovedSession()
        assertEquals(emptyList(), checks().unservedSessions())
    }

    private companion object {
        const val CHANGE_MILLIS = 10_000L
        const val DATABASE = OperatorConfig.BOUNDED_DATABASE
    }
}
