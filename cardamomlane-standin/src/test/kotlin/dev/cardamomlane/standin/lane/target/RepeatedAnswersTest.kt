package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Targets that answer twice or refuse statements when they are told to. */
class RepeatedAnswersTest {
    private val fixture = GroupFixture()
    private val faults = fixture.group.answerFaults

    private fun open() = fixture.session(fixture.a).apply { fixture.timers.advance(1_000) }.apply { received() }

    // Guards against a case that reports no trouble because none was made.
    @Test
    fun `an answer comes once more, byte for byte`() {
        val session = open()
        faults.repeatRates = mapOf(AnswerKind.RUN to 1.0)
        val answer = "ROW -/DONE a.1/READY I 1.0"
        assertEquals("$answer/$answer", session.run("READ 1a"))
        assertEquals(mapOf(AnswerKind.RUN to 1), faults.repeats)
        assertEquals("DONE -/READY T 1.0", session.run("BEGIN"))
    }

    // Guards against repetitions that only ever follow their answer at once.
    @Test
    fun `a repetition may come after the answer to the next statement`() {
        val session = open()
        faults.repeatRates = mapOf(AnswerKind.CONNECTION to 1.0)
        session.send("QUERY id BEGIN")
        faults.repeatRates = emptyMap()
        session.send("QUERY id READ 1a")
        assertEquals("DONE -/READY T 1.0", session.received())
        fixture.timers.advance(300)
        val last = session.received()
        assertEquals(setOf("DONE -", "READY T 1.0", "ROW -", "DONE a.1"), last.split('/').toSet())
    }

    // Guards against repetitions on a connection that is closed.
    @Test
    fun `nothing is sent again on a connection that has ended`() {
        faults.repeatRates = mapOf(AnswerKind.RUN to 1.0)
        val session = open()
        session.send("QUERY id READ 1a")
        fixture.timers.advance(11)
        session.received()
        session.disconnect()
        fixture.timers.advance(1_000)
        assertEquals("", session.received())
    }

    // Guards against a state line that a repetition never brings up to date.
    @Test
    fun `the state of a repetition can be that of its own moment`() {
        val session = open()
        faults.repeatRates = mapOf(AnswerKind.CONNECTION to 1.0)
        faults.isStateRebuilt = true
        session.send("QUERY id BEGIN")
        faults.repeatRates = emptyMap()
        session.send("QUERY id ROLLBACK")
        assertEquals("DONE -/READY T 1.0/DONE -/READY I 1.0", session.received())
        fixture.timers.advance(300)
        assertEquals("DONE -/READY I 1.0", session.received())
    }

    // Guards against an error that a target answers though the statement took effect.
    @Test
    fun `a refused write is not kept`() {
        val session = open()
        faults.errorRates = mapOf(PlatformWords.BUSY to 1.0)
        assertEquals("ERR BUSY a/READY I 1.0", session.run("WRITE 1a red"))
        assertEquals(0, fixture.a.log.size)
        assertEquals(mapOf(PlatformWords.BUSY to 1), faults.errors)
    }

    // Guards against runs whose choices a seed doesn't repeat.
    @Test
    fun `errors and repetitions follow the seed`() {
        fun choices() = AnswerFaults(Random(7)).run {
            repeatRates = mapOf(AnswerKind.ERROR to 0.5)
            errorRates = mapOf("X" to 0.2, "Y" to 0.3)
            List(50) { nextRepeatMillis(AnswerKind.ERROR) to nextError() }
        }
        assertEquals(choices(), choices())
    }
}
