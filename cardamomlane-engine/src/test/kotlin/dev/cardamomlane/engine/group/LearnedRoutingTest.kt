package dev.cardamomlane.engine.group

import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.FakeTarget
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TargetStatement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LearnedRoutingTest {
    private val events = ArrayList<String>()
    private val log = object : DecisionLog {
        override fun event(part: String, event: String, vararg fields: Any?) {
            if (part == "capacity") events += "$event ${fields[1]}"
        }

        override fun request(id: String, event: String, vararg fields: Any?) = Unit
    }
    private val fixture = HostFixture(features = Features(learnsCapacity = true), log = log)
    private val read = Statement.Run(Access.READ, "READ 1")
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")
    private val callers = List(READERS) { FakeCaller() }
    private val sessions = callers.map { fixture.open(it, database = "bounded") }
    private val writerCaller = FakeCaller()
    private val writer = fixture.open(writerCaller)

    private fun target(id: String): FakeTarget = fixture.targets.target(id)

    /** Every 20 ms each reader sends a read while its last one is answered; returns the answers of that time. */
    private fun readFor(millis: Long): List<ErrorCode?> {
        val before = callers.map { it.answers.size }
        repeat((millis / 20).toInt()) { round ->
            if (round % 10 == 0) fixture.replicate()
            for ((index, session) in sessions.withIndex()) {
                if (session.isIdle) {
                    session.onStatement(
                        "r-$index-$round",
                        read,
                    )
                }
            }
            fixture.timers.advance(20)
        }
        return callers.zip(before).flatMap { (caller, count) -> caller.answers.drop(count).map { it.error?.code } }
    }

    private fun warmUp() {
        fixture.ask(writer, writerCaller, write)
        readFor(2_000)
        assertTrue(target("r1").ran.size > 20 || target("r2").ran.size > 20)
    }

    private fun busiestReplica(): FakeTarget = listOf(target("r1"), target("r2")).maxBy { it.ran.size }

    @Test
    fun `a target that fails statements while its health check passes loses its reads within 1 s`() {
        warmUp()
        val failing = busiestReplica()
        failing.refusesWith = ErrorCode.FAILED

        readFor(1_000)
        val later = readFor(3_000)

        assertTrue("out_of_use ${failing.id}" in events, "$events")
        val failedCount = later.count { it != null }
        assertTrue(failedCount * 50 <= later.size, "$failedCount of ${later.size} reads failed after the first second")
    }

    @Test
    fun `a target that has failed statements is used again after it recovers`() {
        warmUp()
        val failing = busiestReplica()
        failing.refusesWith = ErrorCode.BUSY
        readFor(1_500)
        failing.refusesWith = null

        readFor(5_000)

        assertTrue("out_of_use ${failing.id}" in events && "back_in_use ${failing.id}" in events, "$events")
    }

    @Test
    fun `the primary still gets writes while it fails them, since no other target can run them`() {
        warmUp()
        target("p").refusesWith = ErrorCode.FAILED
        repeat(40) { fixture.ask(writer, writerCaller, write, millis = 20) }
        target("p").refusesWith = null

        val answer = fixture.ask(writer, writerCaller, write)

        assertNull(answer?.error)
        assertEquals(42, writerCaller.answers.size)
    }

    @Test
    fun `a statement that fails at every target takes at most one of them out of use, and not for long`() {
        warmUp()
        for (id in listOf("p", "r1", "r2")) target(id).refusesWith = ErrorCode.FAILED

        readFor(4_000)

        val outCount = events.count { it.startsWith("out_of_use") }
        val backCount = events.count { it.startsWith("back_in_use") }
        assertTrue(outCount - backCount <= 1, "$events")
    }

    @Test
    fun `a target that keeps connections open and answers nothing fails no reads`() {
        warmUp()
        busiestReplica().isSilent = true

        val answers = readFor(4_000)

        assertTrue(answers.all { it == null }, "$answers")
    }

    /** Guards against one missing answer that counts twice: as overdue, and again when its connection breaks. */
    @Test
    fun `one read without an answer does not take its target out of use`() {
        warmUp()
        fixture.timers.advance(8_000)
        readFor(60)
        for (id in listOf("p", "r1", "r2")) target(id).isSilent = true
        sessions[0].onStatement("lost", Statement.Run(Access.READ, "READ 9"))
        fixture.timers.advance(20)
        for (id in listOf("p", "r1", "r2")) target(id).isSilent = false
        val link = fixture.targets.links.single { link ->
            link.sent.any { it is TargetStatement.Run && it.text == "READ 9" }
        }
        fixture.timers.advance(230)
        assertNull(callers[0].answers.last().error)
        assertTrue(sessions[0].isIdle)

        link.disconnect()

        assertTrue(events.none { it.startsWith("out_of_use") }, "$events")
    }

    @Test
    fun `a replica that becomes eight times slower gets few reads after 1 s`() {
        warmUp()
        val slow = busiestReplica()
        slow.answersInMillis = 40

        readFor(1_000)
        val before = slow.ran.size
        val answers = readFor(3_000)

        val atSlow = slow.ran.size - before
        assertTrue(atSlow * 10 <= answers.size, "$atSlow of ${answers.size} reads ran at the slow target")
    }

    private companion object {
        const val READERS = 3
    }
}
