package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Consistency
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TransactionState
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * A session sees its own commits while its route changes its consistency, or its group and back. Each case plays at a host
 * that serves its callers itself and at one that forwards their operations.
 *
 * Replicas never apply what is committed here: reads that run there lack it.
 */
class OwnCommitsTest {
    private val read = Statement.Run(Access.READ, "READ 1")
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    /** One session of the database `session` at a host with targets of two groups, of which `h` has a short log. */
    private inner class Play(hostCount: Int, database: String = "session") {
        val fixture = HostFixture(
            hostCount = hostCount,
            settleMillis = 3_000,
            entries = listOf(targetEntry("p", isPrimary = true), targetEntry("r1"), targetEntry("r2")) +
                listOf(targetEntry("q", isPrimary = true, group = "h"), targetEntry("s1", group = "h")),
        )
        val members = fixture.store.seats.map { it.member.name }.toSet()
        val isForwarded = hostCount > members.size
        private val host = fixture.hosts.indices.firstOrNull { "host-$it" !in members } ?: 0
        val forwarder = fixture.hosts[host]
        private val caller = FakeCaller()
        private val session: CallerSession
        private val otherCaller = FakeCaller()
        private val other: CallerSession

        init {
            for (id in listOf("p", "r1", "r2")) fixture.targets.target(id).position = LogPosition(3, 500)
            for (id in listOf("q", "s1")) fixture.targets.target(id).position = LogPosition(3, 20)
            fixture.targets.target("q").isPrimary = true
            session = fixture.open(caller, database, host)
            other = fixture.open(otherCaller, database, host)
            useByOthers()
        }

        /** Another session reads, so that the position of the primary is known. */
        fun useByOthers() = repeat(4) { assertNull(fixture.ask(other, otherCaller, read, millis = 100)?.error) }

        fun ask(statement: Statement): CallerAnswer? = fixture.ask(session, caller, statement, millis = 60)

        fun readInTransaction() {
            assertNull(ask(Statement.Begin(isReadOnly = true))?.error)
            assertNull(ask(read)?.error)
            assertNull(ask(Statement.Commit)?.error)
        }

        fun configure(version: Long, change: (Route) -> Route) = fixture.hosts.forEach {
            it.configure(configuration(version, change))
        }

        fun configuration(version: Long, change: (Route) -> Route): Configuration =
            fixture.configuration(version, change = change)

        /** Returns the targets at which the session's reads run, and fails if one is not served. */
        fun placesOfReads(): Set<String> {
            val places = HashSet<String>()
            fixture.targets.onRun = { target, text -> if (text == "READ 1") places += target.id }
            repeat(8) { assertNull(ask(read)?.error, "read $it") }
            return places
        }
    }

    private fun played(database: String = "session", play: Play.() -> Unit) {
        for (hostCount in listOf(1, FORWARDING_HOSTS)) Play(hostCount, database).play()
    }

    private val toSecondGroup: (Route) -> Route = { it.copy(group = DatabaseId("h")) }
    private val unchanged: (Route) -> Route = { it }

    /**
     * Guards against a session that forgets its last commit when a transaction without writes ends at a replica that is
     * behind, and reads too old data once its route asks for its own commits.
     */
    @Test
    fun `a transaction without writes takes nothing from what the session has committed`() = played("bounded") {
        assertNull(ask(write)?.error)
        readInTransaction()
        assertTrue(listOf("r1", "r2").any { "COMMIT" in fixture.targets.target(it).ran })

        configure(version = 2) { it.copy(consistency = Consistency.SESSION) }

        assertEquals(setOf("p"), placesOfReads())
    }

    /** Guards against a session that forgets its commits in one log when it commits to another one, which is shorter. */
    @Test
    fun `a session whose database moves to another group and back sees what it has committed before`() = played {
        assertNull(ask(write)?.error)
        configure(version = 2, toSecondGroup)
        assertNull(ask(write)?.error)
        configure(version = 3, unchanged)

        assertEquals(setOf("p"), placesOfReads())
    }

    /** Guards against reads that no target serves, as they require a position of a longer log. */
    @Test
    fun `a session whose database moves to a group with a shorter log is served there`() = played {
        assertNull(ask(write)?.error)
        configure(version = 2, toSecondGroup)
        useByOthers()

        assertTrue("s1" in placesOfReads(), "replicas serve reads of a session without commits in their log")
    }

    /** Guards against reads that are refused for good, as their log was restored to a state before the session's commit. */
    @Test
    fun `a session whose log does not reach its last commit any more is served by the primary`() = played {
        assertNull(ask(write)?.error)
        for (id in listOf("p", "r1", "r2")) fixture.targets.target(id).position = LogPosition(3, 400)

        assertEquals(setOf("p"), placesOfReads())
    }

    /** Guards against a commit that counts as one in the log that the sender of the operation has in mind. */
    @Test
    fun `a commit counts in the log of the group that the serving host has chosen`() = played {
        if (!isForwarded) return@played
        fixture.hosts.filter { it !== forwarder }.forEach { it.configure(configuration(version = 2, toSecondGroup)) }
        assertNull(ask(write)?.error)
        assertEquals(listOf("WRITE 1 x"), fixture.targets.target("q").log)
        forwarder.configure(configuration(version = 2, toSecondGroup))
        useByOthers()

        assertEquals(setOf("q"), placesOfReads())
    }

    /** Guards against a host that goes by an older configuration than it names, and takes a commit for one in its own route's log. */
    @Test
    fun `a host that only knows of a newer configuration is told the group of each commit`() = played {
        if (!isForwarded) return@played
        fixture.hosts.filter { it !== forwarder }.forEach { it.configure(configuration(version = 2, toSecondGroup)) }
        assertNull(ask(write)?.error)
        fixture.targets.target("s1").position = fixture.targets.target("q").position
        assertNull(ask(write)?.error)
        forwarder.configure(configuration(version = 2, toSecondGroup))
        useByOthers()

        assertEquals(setOf("q"), placesOfReads())
    }

    /** Guards against a position that a member takes for one of its own group's log. */
    @Test
    fun `the serving host looks up the session's commits in the log of the group that it has chosen`() = played {
        if (!isForwarded) return@played
        assertNull(ask(write)?.error)
        fixture.hosts.filter { it !== forwarder }.forEach { it.configure(configuration(version = 2, toSecondGroup)) }
        useByOthers()

        assertTrue("s1" in placesOfReads())
    }

    /** Guards against a commit that is forgotten, as the target's answer has no position. */
    @Test
    fun `a commit whose position is not known is after all others`() {
        val answer = TargetAnswer(emptyList(), "digest", error = null, TransactionState.IDLE, position = null)

        assertEquals(LogCommit(DatabaseId("g"), LogPosition.END), Outcome.committed(answer, DatabaseId("g")).committed)
        assertNull(Outcome.of(answer).committed)
        assertNotNull(Outcome.of(answer).digest)
    }

    private companion object {
        /** More hosts than seats. */
        const val FORWARDING_HOSTS = 14
    }
}
