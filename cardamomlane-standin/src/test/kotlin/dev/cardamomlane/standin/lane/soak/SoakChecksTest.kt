package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.operator.Operator
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.record.CallerCommit
import dev.cardamomlane.standin.lane.record.SentStatement
import dev.cardamomlane.standin.lane.target.GroupFixture
import dev.cardamomlane.standin.lane.target.RunContent
import dev.cardamomlane.standin.lane.target.TargetLog
import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** What the checks of a soak find, and what they excuse. */
class SoakChecksTest {
    private val fixture = GroupFixture()
    private val history = SoakHistory()
    private var hasRecovered = true

    private fun findings(): List<String> {
        if (hasRecovered) recover()
        return checks()
    }

    private fun checks(isAcknowledgedByReplica: Boolean = false) = SoakChecks(
        history,
        fixture.history,
        listOf(checkNotNull(fixture.group.primary()).log),
        listOf(Operator.Publication(OperatorConfig.first(OperatorConfig.Group("archive", 34), 1, 83), atMillis = 0)),
        mapOf("club" to listOf("key")),
        ratePerSecond = 83,
        isAcknowledgedByReplica,
    ).findings()

    private fun finding() = findings().single()

    /** Statements that succeed after all disturbances of a test, so that the host counts as serving. */
    private fun recover() = repeat(2) { read("r$it", sentMillis = END_MILLIS) }

    private fun read(id: String, sentMillis: Long) {
        fixture.history.onRun("a", id, "a.1")
        answered(CallerAnswer(id, null, digest = "a.1"), sentMillis, isCommit = false, isRead = true)
    }

    private fun answered(
        answer: CallerAnswer,
        sentMillis: Long = 0,
        endedMillis: Long = sentMillis + 10,
        isCommit: Boolean = true,
        text: String = "",
        isRead: Boolean = false,
        database: String = OperatorConfig.BOUNDED_DATABASE,
    ) {
        history.sent.add(SentStatement(answer.statementId, text, answer.statementId, answer = answer))
        history.add(
            SoakStatement(
                host = "h",
                key = "key",
                session = "reader",
                database = database,
                operationId = answer.statementId,
                operationMillis = sentMillis,
                isRead = isRead,
                isCommit = isCommit,
                sentMillis = sentMillis,
                endedMillis = endedMillis,
                answer = answer,
            ),
        )
    }

    private fun done(id: String, sentMillis: Long = 0) {
        fixture.history.onRun("a", id, "a.1")
        answered(CallerAnswer(id, null, digest = "a.1"), sentMillis)
    }

    private fun cut(id: String, sentMillis: Long, endedMillis: Long) {
        fixture.history.onBegun("a", id)
        answered(CallerAnswer(id, null, isCut = true), sentMillis, endedMillis)
    }

    private fun commit(id: String) {
        fixture.a.commit(id, mapOf("1a" to id)) {}
        fixture.timers.advance(1)
    }

    private fun disturb(kind: DisturbanceKind, subject: String, startMillis: Long, endMillis: Long) =
        history.add(Disturbance(kind, subject, startMillis, endMillis))

    @Test
    fun `an acknowledged write that is kept breaks nothing`() {
        commit("w")
        done("w")
        assertEquals(emptyList(), findings())
    }

    @Test
    fun `an acknowledged write that no target committed is found`() {
        done("w")
        assertContains(finding(), "are lost: [w]")
    }

    @Test
    fun `an acknowledged write that a promotion rolled back is excused`() {
        fixture.a.commit("w", mapOf("1a" to "x")) {}
        fixture.a.crash()
        fixture.group.promote("b")
        fixture.timers.advance(300)
        fixture.a.start()
        done("w")
        assertEquals(emptyList(), findings())
    }

    @Test
    fun `a rolled back write is found where a replica must have it before it is acknowledged`() {
        fixture.a.commit("w", mapOf("1a" to "x")) {}
        fixture.a.crash()
        fixture.group.promote("b")
        fixture.timers.advance(300)
        fixture.a.start()
        done("w")
        recover()
        assertContains(checks(isAcknowledgedByReplica = true).single(), "are lost: [w]")
    }

    @Test
    fun `a read that is too old is found`() {
        fixture.b.lagMillis = 60_000
        commit("w")
        done("w")
        history.add(CallerCommit("w", "writer", acknowledgedMillis = 100))
        read("r", sentMillis = 2_000)
        fixture.history.onRead("b", "r", fixture.b.lastApplied)
        assertContains(finding(), "1 reads were too old: [r of reader")
    }

    @Test
    fun `a success with a digest that no target gave is found`() {
        commit("w")
        done("w")
        fixture.history.onRun("a", "r", "a.2")
        answered(CallerAnswer("r", null, digest = "a.1"), isCommit = false)
        assertContains(finding(), "1 answers are not those of a target: [r]")
    }

    @Test
    fun `a statement that ran otherwise than sent is found, also beside a disturbance`() {
        disturb(DisturbanceKind.STUTTER, "", startMillis = 0, endMillis = 1_000)
        fixture.history.onRun("a", "r", "a.2", RunContent("READ a"))
        answered(CallerAnswer("r", null, digest = "a.2"), isCommit = false, text = "READ a b")
        assertContains(finding(), "1 statements ran otherwise than sent: [r]")
    }

    @Test
    fun `a statement that ran with other values is found, also beside a disturbance`() {
        disturb(DisturbanceKind.TARGET_CRASH, "a", startMillis = 0, endMillis = 1_000)
        fixture.history.onRun("a", "r", "a.2", RunContent("READ a", values = mapOf("v" to "x")))
        answered(CallerAnswer("r", null, digest = "a.2"), isCommit = false, text = "READ a")
        assertContains(finding(), "1 statements ran with other values, or outside their own transaction: [r]")
    }

    @Test
    fun `other rows than a target sent are found, also beside a disturbance`() {
        disturb(DisturbanceKind.STUTTER, "", startMillis = 0, endMillis = 1_000)
        fixture.history.onRun("a", "r", "a.2", RunContent("READ a", rows = listOf("x")))
        answered(CallerAnswer("r", null, digest = "a.2", rows = listOf("y")), isCommit = false, text = "READ a")
        assertContains(finding(), "1 answers are not those of a target: [r]")
    }

    @Test
    fun `a success of a read without a digest is found`() {
        fixture.history.onRun("a", "r", "a.2", RunContent("READ a"))
        answered(CallerAnswer("r", null, digest = "-"), isCommit = false, text = "READ a")
        assertContains(finding(), "1 answers are not those of a target: [r]")
    }

    @Test
    fun `a transaction that is kept though a statement of it was refused is found`() {
        commit("c")
        history.sent.add(SentStatement("w", "WRITE a x", "t", answer = CallerAnswer("w", PlatformWords.BUSY)))
        history.sent.add(SentStatement("c", "COMMIT", "t", answer = CallerAnswer("c", "UNKNOWN")))
        assertContains(finding(), "told that they were not run: [c]")
    }

    @Test
    fun `a key that no customer has is found when it opens a session`() {
        history.sent.onAdmitted("key more")
        assertContains(finding(), "1 unknown keys were admitted: [key more]")
    }

    @Test
    fun `more operations of a customer than its rate allows are found`() {
        repeat(567) { read("r$it", sentMillis = 0) }
        assertEquals(emptyList(), findings())
        read("last", sentMillis = 0)
        assertContains(finding(), "got more than their rate: [club 568 of 567")
    }

    @Test
    fun `an acknowledged write at an old primary is excused if a host was paused meanwhile`() {
        fixture.group.promote("b")
        fixture.timers.advance(300)
        commit("late")
        fixture.timers.advance(2_000)
        done("late", sentMillis = 5_200)
        disturb(DisturbanceKind.HOST_PAUSE, "h", startMillis = 4_000, endMillis = 5_000)
        assertEquals(emptyList(), findings())
    }

    @Test
    fun `an acknowledged write at an old primary is found`() {
        fixture.group.promote("b")
        fixture.timers.advance(300)
        commit("late")
        fixture.timers.advance(2_000)
        done("late")
        assertContains(finding(), "at an old primary after a promotion: [late]")
    }

    @Test
    fun `an acknowledged write that is missing for another reason is found`() {
        commit("w")
        done("w")
        fixture.group.promote("b")
        fixture.timers.advance(2_000)
        fixture.b.log.copyFrom(TargetLog())
        assertContains(finding(), "are lost: [w]")
    }

    @Test
    fun `a write that was refused as not run but is kept is found`() {
        commit("w")
        answered(CallerAnswer("w", PlatformWords.BUSY))
        assertContains(finding(), "told that they were not run: [w]")
    }

    @Test
    fun `a write of unknown outcome may be kept`() {
        commit("w")
        answered(CallerAnswer("w", "UNKNOWN"))
        assertEquals(emptyList(), findings())
    }

    @Test
    fun `a write that stands twice is found`() {
        commit("w")
        commit("w")
        assertContains(finding(), "stand twice in the log: [w]")
    }

    @Test
    fun `a statement that a planned stop cuts is found`() {
        disturb(DisturbanceKind.HOST_STOP, "h", startMillis = 10_000, endMillis = 18_000)
        cut("r", sentMillis = 14_000, endedMillis = 15_400)
        assertContains(finding(), "cut by a planned stop: [r]")
    }

    @Test
    fun `a cut is excused near the end of the grace time, beside a crash, or at another host`() {
        disturb(DisturbanceKind.HOST_STOP, "h", startMillis = 10_000, endMillis = 18_000)
        cut("early", sentMillis = 12_000, endedMillis = 15_400)
        disturb(DisturbanceKind.HOST_STOP, "h", startMillis = 50_000, endMillis = 58_000)
        disturb(DisturbanceKind.TARGET_CRASH, "a", startMillis = 49_000, endMillis = 51_000)
        cut("crashed", sentMillis = 54_000, endedMillis = 55_400)
        disturb(DisturbanceKind.HOST_STOP, "other", startMillis = 90_000, endMillis = 98_000)
        cut("elsewhere", sentMillis = 94_000, endedMillis = 95_400)
        assertEquals(emptyList(), findings())
    }

    @Test
    fun `a statement that runs with a withdrawn key is found once the time to apply it has passed`() {
        listOf("soon", "late", "back").forEach(::commit)
        disturb(DisturbanceKind.KEY_WITHDRAWAL, "key", startMillis = 10_000, endMillis = 16_000)
        done("soon", sentMillis = 12_900)
        done("late", sentMillis = 13_300)
        done("back", sentMillis = 16_100)
        assertContains(finding(), "1 statements ran with a withdrawn key: [late]")
    }

    @Test
    fun `a withdrawal beside an outage of the store is excused`() {
        commit("late")
        disturb(DisturbanceKind.KEY_WITHDRAWAL, "key", startMillis = 10_000, endMillis = 16_000)
        disturb(DisturbanceKind.STORE_OUTAGE, "", startMillis = 11_000, endMillis = 12_000)
        done("late", sentMillis = 14_000)
        assertEquals(emptyList(), findings())
    }

    @Test
    fun `a host that does not serve after the last disturbance is found`() {
        hasRecovered = false
        disturb(DisturbanceKind.STORE_OUTAGE, "", startMillis = 10_000, endMillis = 12_000)
        read("r", sentMillis = 9_000)
        assertContains(findings(), "1 hosts do not serve after the last disturbance: [h]")
    }

    /** Guards against a group whose new primary a host can't use, while other databases hide it. */
    @Test
    fun `a database that is not served after the last disturbance is found beside one that is`() {
        disturb(DisturbanceKind.DROPPED_ANSWERS, "a b c", startMillis = 10_000, endMillis = 22_000)
        for (number in 0 until 4) {
            val answer = CallerAnswer("w$number", PlatformWords.BUSY.takeIf { number > 0 }, digest = "a.1")
            if (answer.isDone) fixture.history.onRun("a", answer.statementId, answer.digest)
            answered(answer, sentMillis = END_MILLIS, isCommit = false, isRead = true, database = "ledger")
        }
        assertEquals("1 databases are not served after the last disturbance: [ledger]", finding())
    }

    private companion object {
        const val END_MILLIS = 200_000L
    }
}
