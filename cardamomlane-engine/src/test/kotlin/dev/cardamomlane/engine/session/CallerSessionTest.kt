package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CallerSessionTest {
    private val fixture = HostFixture()
    private val caller = FakeCaller()
    private val primary = fixture.targets.target("p")
    private val read = Statement.Run(Access.READ, "READ 1")
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")

    private fun code(answer: dev.cardamomlane.engine.statement.CallerAnswer?) = answer?.error?.code

    @Test
    fun `a statement is forwarded unchanged and answered with the target's digest`() {
        val session = fixture.open(caller)

        val answer = fixture.ask(session, caller, write)

        assertEquals("WRITE 1 x", fixture.targets.textOf(answer?.digest))
        assertEquals(listOf("WRITE 1 x"), primary.ran)
        assertEquals(TransactionState.IDLE, answer?.state)
    }

    @Test
    fun `a session for an unknown database or with an unknown key is refused`() {
        fixture.hosts[0].openSession(caller, "nowhere", "key")
        assertEquals(ErrorCode.UNKNOWN_DATABASE, caller.refusal?.code)
        fixture.hosts[0].openSession(caller, "latest", "other")
        assertEquals(ErrorCode.UNAUTHORIZED, caller.refusal?.code)
        assertFalse(caller.isOpened)
    }

    @Test
    fun `a session opened while the host starts waits for the configuration`() {
        val fixture = HostFixture(isConfigured = false)
        val session = fixture.hosts[0].openSession(caller, "latest", "key")
        fixture.timers.advance(500)
        assertFalse(caller.isOpened)

        fixture.hosts[0].configure(fixture.configuration(version = 1))

        assertTrue(caller.isOpened)
        assertNull(fixture.ask(session, caller, write)?.error)
    }

    @Test
    fun `a session is refused when the host gets no configuration in time`() {
        val fixture = HostFixture(isConfigured = false)
        fixture.hosts[0].openSession(caller, "latest", "key")

        fixture.timers.advance(1_500)

        assertEquals(ErrorCode.BUSY, caller.refusal?.code)
    }

    @Test
    fun `each of several hosts serves a first write soon after its start`() {
        val fixture = HostFixture(hostCount = 3, settleMillis = 300)
        val outcomes = fixture.hosts.indices.map { index ->
            val caller = FakeCaller()
            code(fixture.ask(fixture.open(caller, host = index), caller, write))
        }

        assertEquals(listOf<ErrorCode?>(null, null, null), outcomes)
    }

    @Test
    fun `an operation of an open session whose key was withdrawn is refused and closes the session`() {
        val session = fixture.open(caller)
        fixture.hosts[0].configure(fixture.configuration(version = 2, key = "new"))

        val answer = fixture.ask(session, caller, read)

        assertEquals(ErrorCode.UNAUTHORIZED, code(answer))
        assertTrue(caller.isClosed)
        assertTrue(primary.ran.isEmpty())
    }

    /** Guards against a transaction that goes on, and commits, under a key that was withdrawn. */
    @Test
    fun `a withdrawn key ends an open transaction with a rollback at once, and the session at its next operation`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.hosts[0].configure(fixture.configuration(version = 2, key = "new"))
        fixture.timers.advance(10)

        assertEquals(listOf("WRITE 1 x", "ROLLBACK"), primary.ran)
        assertEquals(ErrorCode.ABORTED, code(fixture.ask(session, caller, write)))
        assertEquals(ErrorCode.ABORTED, code(fixture.ask(session, caller, Statement.Commit)))
        assertEquals(ErrorCode.UNAUTHORIZED, code(fixture.ask(session, caller, read)))
        assertTrue(caller.isClosed)
    }

    /** Guards against statements on a public route that run in the name of a customer that has lost the key (review/10). */
    @Test
    fun `on a public route a key that changes its customer ends the transaction, and the next one has the new name`() {
        val newHolders = mapOf("withdrawn" to emptyMap(), "moved" to mapOf("key" to "guild"))
        for ((change, holders) in newHolders) {
            for (hostCount in listOf(1, FORWARDING_HOSTS)) {
                val fixture = HostFixture(hostCount = hostCount, settleMillis = 3_000)
                val members = fixture.store.seats.map { it.member.name }.toSet()
                val host = fixture.hosts.indices.firstOrNull { "host-$it" !in members } ?: 0
                fixture.hosts.forEach { it.configure(fixture.configuration(version = 2) { it.copy(isPublic = true) }) }
                val caller = FakeCaller()
                val session = fixture.open(caller, host = host)
                fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
                fixture.ask(session, caller, write)
                val names = HashSet<String>()
                fixture.targets.onBegin = { link, _, _ -> names += link.customerName }

                fixture.hosts.forEach {
                    it.configure(fixture.configuration(3, customers = holders) { it.copy(isPublic = true) })
                }
                fixture.timers.advance(10)

                assertEquals(ErrorCode.ABORTED, code(fixture.ask(session, caller, write)), change)
                fixture.ask(session, caller, Statement.Rollback)
                assertNull(fixture.ask(session, caller, write, millis = 500)?.error, "$change, $hostCount hosts")
                assertEquals(setOf(holders["key"] ?: CallerSession.ANONYMOUS_CUSTOMER), names, change)
            }
        }
    }

    /** Guards against a commit that is answered as not run although its target makes it. */
    @Test
    fun `a commit that was sent before the key was withdrawn gets its true answer`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        primary.answersInMillis = 900
        session.onStatement("c", Statement.Commit)
        fixture.timers.advance(10)

        fixture.hosts[0].configure(fixture.configuration(version = 2, key = "new"))
        fixture.timers.advance(900)

        assertNull(caller.answers.last().error)
        assertEquals(listOf("WRITE 1 x"), primary.log)
    }

    /** Guards against a slow statement that keeps the transaction of a withdrawn key open beyond the bound. */
    @Test
    fun `a slow statement of a transaction is cut off a second after its key was withdrawn`() {
        val fixture = HostFixture(timeoutMillis = 3_000)
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        fixture.targets.target("p").answersInMillis = 2_900
        session.onStatement("r", read)
        fixture.timers.advance(10)

        fixture.hosts[0].configure(fixture.configuration(version = 2, key = "new"))
        fixture.timers.advance(1_000)

        assertEquals(ErrorCode.ABORTED, code(caller.answers.last()))
        assertTrue(fixture.targets.links.none { it.isInTransaction })
    }

    @Test
    fun `a transaction goes on when its database is removed or changed, and the next one is refused`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.hosts[0].configure(fixture.configuration(version = 2, databases = setOf("bounded")))

        assertNull(fixture.ask(session, caller, write)?.error)
        assertNull(fixture.ask(session, caller, Statement.Commit)?.error)
        assertEquals(ErrorCode.UNKNOWN_DATABASE, code(fixture.ask(session, caller, read)))
    }

    @Test
    fun `an operation of an open session whose database was removed is refused`() {
        val session = fixture.open(caller)
        fixture.hosts[0].configure(fixture.configuration(version = 2, databases = setOf("bounded")))

        assertEquals(ErrorCode.UNKNOWN_DATABASE, code(fixture.ask(session, caller, read)))
    }

    @Test
    fun `an older configuration never replaces a newer one`() {
        fixture.hosts[0].configure(fixture.configuration(version = 5, key = "new"))
        fixture.hosts[0].configure(fixture.configuration(version = 4, key = "key"))

        fixture.hosts[0].openSession(caller, "latest", "key")

        assertEquals(ErrorCode.UNAUTHORIZED, caller.refusal?.code)
    }

    @Test
    fun `statements and commit of a transaction run on one connection`() {
        val session = fixture.open(caller)

        assertEquals(TransactionState.OPEN, fixture.ask(session, caller, Statement.Begin(isReadOnly = false))?.state)
        fixture.ask(session, caller, write)
        fixture.ask(session, caller, read)
        val answer = fixture.ask(session, caller, Statement.Commit)

        assertEquals("COMMIT", fixture.targets.textOf(answer?.digest))
        assertEquals(TransactionState.IDLE, answer?.state)
        val used = fixture.targets.links.filter { link -> link.sent.any { it is TargetStatement.Run } }
        assertEquals(1, used.size)
        assertEquals(listOf("WRITE 1 x", "READ 1", "COMMIT"), primary.ran)
    }

    @Test
    fun `a connection with an open transaction is not used by other sessions`() {
        val session = fixture.open(caller)
        val other = FakeCaller()
        val otherSession = fixture.open(other)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.ask(otherSession, other, Statement.Run(Access.READ, "READ 2"))

        val used = fixture.targets.links.filter { link -> link.sent.any { it is TargetStatement.Run } }
        assertEquals(2, used.size)
    }

    @Test
    fun `a transaction is rolled back when its caller disconnects`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.hosts[0].closeSession(session)
        fixture.timers.advance(100)

        assertEquals(listOf("WRITE 1 x", "ROLLBACK"), primary.ran)
    }

    @Test
    fun `session values are set before a statement and not seen by another session`() {
        val session = fixture.open(caller)
        val other = FakeCaller()
        val otherSession = fixture.open(other)
        fixture.ask(session, caller, Statement.SetValue("zone", "utc"))
        fixture.ask(session, caller, read)
        val used = fixture.targets.links.single { link -> link.sent.any { it is TargetStatement.Run } }
        assertEquals(mapOf("zone" to "utc"), used.values.toMap())

        fixture.ask(otherSession, other, Statement.Run(Access.READ, "READ 2"))

        val serving = fixture.targets.links.single { link -> TargetStatement.Run("id-0", "READ 2", null) in link.sent }
        assertTrue(serving.values.isEmpty())
    }

    @Test
    fun `an executed prepared statement runs its plan`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Prepare("s", PreparedPlan(Access.READ, "shape")))

        val answer = fixture.ask(session, caller, Statement.Execute("s", "1"))

        assertNull(answer?.error)
        assertEquals(listOf("r_shape 1"), primary.ran)
    }

    @Test
    fun `executing a statement that was not prepared is refused`() {
        val session = fixture.open(caller)

        assertEquals(ErrorCode.UNKNOWN_STATEMENT, code(fixture.ask(session, caller, Statement.Execute("s", "1"))))
    }

    @Test
    fun `a write is sent again after the target answers that it did not run it`() {
        for (refusal in listOf(ErrorCode.BUSY, ErrorCode.READ_ONLY, ErrorCode.UNKNOWN_STATEMENT)) {
            val fixture = HostFixture()
            val session = fixture.open(caller)
            fixture.targets.target("p").refusals += refusal

            val answer = fixture.ask(session, caller, write, millis = 300)

            assertNotNull(answer, "$refusal")
            assertNull(answer.error, "$refusal")
            assertEquals(listOf("WRITE 1 x"), fixture.targets.target("p").ran)
            caller.answers.clear()
        }
    }

    /** Guards against a write that is run although its caller has left, or its key was withdrawn since. */
    @Test
    fun `a write that its target refuses after the caller has left is not sent again`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, read)
        primary.refusals += ErrorCode.BUSY
        session.onStatement("w", write)
        fixture.timers.advance(1)

        fixture.hosts[0].closeSession(session)
        fixture.timers.advance(500)

        assertEquals(listOf("READ 1"), primary.ran)
    }

    @Test
    fun `a write whose answer is lost has an unknown outcome and is not sent again`() {
        val session = fixture.open(caller)
        primary.lostAnswers = 1

        val answer = fixture.ask(session, caller, write, millis = 3_000)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, code(answer))
        assertEquals(listOf("WRITE 1 x"), primary.ran)
    }

    /** Guards against a write that takes effect twice, since its target may have run it before the connection broke. */
    @Test
    fun `a write whose connection breaks has an unknown outcome and is not sent again`() {
        val session = fixture.open(caller)
        primary.answersInMillis = 50
        session.onStatement("w", write)
        fixture.timers.advance(30)
        val used = fixture.targets.links.single { link -> link.sent.any { it is TargetStatement.Run } }

        used.disconnect()
        fixture.timers.advance(1_000)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, code(caller.answers.single()))
        assertEquals(1, fixture.targets.links.flatMap { it.sent }.count { it is TargetStatement.Run })
    }

    @Test
    fun `a write that runs while the proof of its primary expires has an unknown outcome`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, read)
        primary.answersInMillis = 950
        fixture.store.isDown = true
        fixture.timers.advance(600)

        val answer = fixture.ask(session, caller, write, millis = 3_000)

        assertEquals(listOf("READ 1", "WRITE 1 x"), primary.ran)
        assertEquals(ErrorCode.OUTCOME_UNKNOWN, code(answer))
    }

    @Test
    fun `a commit whose connection breaks has an unknown outcome`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        val used = fixture.targets.links.single { link -> link.sent.any { it is TargetStatement.Run } }
        session.onStatement("c", Statement.Commit)
        fixture.timers.advance(1)

        used.disconnect()
        fixture.timers.advance(100)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, code(caller.answers.last()))
    }

    @Test
    fun `a transaction whose connection breaks before its commit is aborted, and ends with a rollback`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        fixture.targets.links.single { link -> link.sent.any { it is TargetStatement.Run } }.disconnect()

        val answer = fixture.ask(session, caller, read)

        assertEquals(ErrorCode.ABORTED, code(answer))
        assertEquals(TransactionState.FAILED, answer?.state)
        assertEquals(ErrorCode.MALFORMED, code(fixture.ask(session, caller, read)))
        assertEquals(TransactionState.IDLE, fixture.ask(session, caller, Statement.Rollback)?.state)
    }

    @Test
    fun `a read whose answer is lost is retried`() {
        fixture.replicate()
        val session = fixture.open(caller, database = "bounded")
        for (id in listOf("p", "r1", "r2")) fixture.targets.target(id).lostAnswers = if (id == "r1") 1 else 0
        fixture.targets.target("r2").lostAnswers = 0

        val answer = fixture.ask(session, caller, read, millis = 900)

        assertNull(answer?.error)
        assertEquals("READ 1", fixture.targets.textOf(answer?.digest))
    }

    @Test
    fun `statements that do not fit the transaction state are refused`() {
        val session = fixture.open(caller)

        for (statement in listOf(Statement.Commit, Statement.Rollback, Statement.Unreadable("test"))) {
            assertEquals(ErrorCode.MALFORMED, code(fixture.ask(session, caller, statement)))
        }
        fixture.ask(session, caller, Statement.Begin(isReadOnly = true))
        assertEquals(ErrorCode.MALFORMED, code(fixture.ask(session, caller, Statement.Begin(isReadOnly = true))))
    }

    @Test
    fun `a stopping host closes idle sessions and lets open transactions end`() {
        val session = fixture.open(caller)
        val busy = FakeCaller()
        val busySession = fixture.open(busy)
        fixture.ask(busySession, busy, Statement.Begin(isReadOnly = false))
        var isStopped = false

        fixture.hosts[0].stop(StopTimes(graceMillis = 5_000), stopAccepting = {}) { isStopped = true }
        assertFalse(fixture.hosts[0].isReady)
        fixture.timers.advance(1_800)

        assertTrue(session.isIdle && caller.isClosed)
        assertFalse(busy.isClosed)
        fixture.ask(busySession, busy, Statement.Rollback)
        assertTrue(busy.isClosed)
        fixture.hosts[0].closeSession(session)
        fixture.hosts[0].closeSession(busySession)
        fixture.timers.advance(100)
        assertTrue(isStopped)
    }

    /** Guards against a transaction that goes on through a stop because a statement ran when transactions were aborted. */
    @Test
    fun `a transaction with a statement under way at half of the grace time is aborted at that statement's end`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        primary.answersInMillis = 600
        fixture.hosts[0].stop(StopTimes(graceMillis = 5_000), stopAccepting = {}) {}
        fixture.timers.advance(2_300)

        val answer = fixture.ask(session, caller, read, millis = 601)

        assertEquals(ErrorCode.ABORTED, code(answer))
        assertEquals(TransactionState.FAILED, answer?.state)
        assertEquals(TransactionState.IDLE, fixture.ask(session, caller, Statement.Rollback, millis = 600)?.state)
        assertTrue(caller.isClosed)
        assertEquals(listOf("WRITE 1 x", "READ 1", "ROLLBACK"), primary.ran)
    }

    /** Guards against a stop that ends with a commit under way, whose caller learns nothing. */
    @Test
    fun `a commit without an answer shortly before the end of a stop has an unknown outcome`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        primary.isSilent = true
        fixture.hosts[0].stop(StopTimes(graceMillis = 1_000), stopAccepting = {}) {}
        session.onStatement("c", Statement.Commit)

        fixture.timers.advance(950)

        assertEquals(ErrorCode.OUTCOME_UNKNOWN, code(caller.answers.last()))
    }

    /** Guards against a caller that does not learn why its transaction is gone, nor that it may be repeated. */
    @Test
    fun `the first statement after an abort between two statements is answered with it`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        fixture.hosts[0].stop(StopTimes(graceMillis = 5_000), stopAccepting = {}) {}
        fixture.timers.advance(2_600)
        assertEquals(listOf("WRITE 1 x", "ROLLBACK"), primary.ran)

        assertEquals(ErrorCode.ABORTED, code(fixture.ask(session, caller, read)))
        assertEquals(ErrorCode.MALFORMED, code(fixture.ask(session, caller, read)))
    }

    @Test
    fun `a stopping host answers or refuses every late caller before it ends`() {
        var isAccepting = true
        var isStopped = false
        val callers = ArrayList<FakeCaller>()
        val sessions = HashMap<FakeCaller, CallerSession>()
        fixture.hosts[0].stop(StopTimes(graceMillis = 5_000), stopAccepting = { isAccepting = false }) {
            isStopped =
                true
        }
        repeat(100) {
            if (!isStopped) {
                val late = FakeCaller().also { callers += it }
                sessions[late] =
                    fixture.hosts[0].openSession(late, "latest", "key").also { it.onStatement("late", read) }
                fixture.timers.advance(50)
                sessions.filterKeys { it.isClosed }.values.forEach(fixture.hosts[0]::closeSession)
            }
        }

        assertTrue(isStopped && !isAccepting)
        val unanswered = callers.filter { it.refusal?.code != ErrorCode.BUSY && it.answers.size != 1 }
        assertTrue(unanswered.isEmpty(), unanswered.joinToString { "${it.refusal} ${it.answers}" })
        fixture.hosts[0].openSession(caller, "latest", "key")
        assertEquals(ErrorCode.BUSY, caller.refusal?.code)
    }

    /** Guards against a read that nothing serves any more, whose caller learns so only at the route's timeout. */
    @Test
    fun `a hedged read is refused at once when its connection is lost after the queue refused its second attempt`() {
        val session = fixture.open(caller)
        primary.answersInMillis = 5_000
        session.onStatement("r", read)
        fixture.timers.advance(700)
        assertTrue(caller.answers.isEmpty())

        fixture.targets.links.filter { link -> link.sent.any { it is TargetStatement.Run } }.forEach { it.disconnect() }

        assertNotNull(caller.answers.singleOrNull()?.error)
    }

    /** Guards against a target that answers no rollback, which costs its host one of few connections for good. */
    @Test
    fun `a rollback without an answer ends its connection within the route's timeout`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)
        primary.isSilent = true
        session.onStatement("r", Statement.Rollback)
        assertTrue(fixture.targets.links.any { it.isInTransaction })

        fixture.timers.advance(1_000)

        assertTrue(fixture.targets.links.none { it.isInTransaction })
    }

    /** Guards against a slot and a connection that stay in use for good after the answer to BEGIN was lost. */
    @Test
    fun `a transaction that ends before the answer to its begin gives back its slot`() {
        val target = fixture.hosts[0].group(DatabaseId("g"))!!.targets.first { it.entry.id.value == "p" }
        for (isRolledBack in listOf(false, true)) {
            val session = fixture.open(caller)
            fixture.ask(session, caller, write)
            fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
            primary.isSilent = true
            fixture.ask(session, caller, read, millis = 20)
            primary.isSilent = false
            assertEquals(1, target.runningCount)
            if (isRolledBack) session.onClosed()

            fixture.timers.advance(1_500)

            assertEquals(0, target.runningCount, "isRolledBack: $isRolledBack")
        }
    }

    @Test
    fun `a transaction that is idle for too long is rolled back`() {
        val session = fixture.open(caller)
        fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
        fixture.ask(session, caller, write)

        fixture.timers.advance(4_000)

        assertEquals(listOf("WRITE 1 x", "ROLLBACK"), primary.ran)
        assertEquals(ErrorCode.ABORTED, code(fixture.ask(session, caller, Statement.Commit)))
    }

    private companion object {
        /** More hosts than seats. */
        const val FORWARDING_HOSTS = 14
    }
}
