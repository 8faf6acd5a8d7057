package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.statement.TransactionState
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * How many answers a host sends for an operation that another one forwards. Answers name the operation but not its step, so
 * one too many would be taken for the answer to the next step.
 */
class ForwardedAnswersTest {
    private class Setup {
        val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
        val primary = fixture.targets.target("p")
        private val members = fixture.store.seats.map { it.member.name }.toSet()
        private val forwarder = fixture.hosts.indices.first { "host-$it" !in members }
        private val servingHost: String get() = fixture.links.requestCounts.maxBy { it.value }.key
        val serving get() = fixture.hosts[servingHost.removePrefix("host-").toInt()]
        val caller = FakeCaller()
        val session = fixture.open(caller, "latest", forwarder)
    }

    private val faults: Map<String, Setup.() -> Unit> = mapOf(
        "no fault" to {},
        "the target is slower than the time limit" to { primary.answersInMillis = 5_000 },
        "the serving host stops" to { serving.stop(StopTimes(graceMillis = 500), stopAccepting = {}) {} },
        "the key is withdrawn" to {
            fixture.hosts.forEach { it.configure(fixture.configuration(version = 2, key = "new")) }
        },
        "the connections to targets are lost" to { fixture.targets.links.forEach { it.disconnect() } },
    )

    /** Guards against a step of a transaction that is answered by a second answer to the step before it. */
    @TestFactory
    fun `a host answers each step of an operation once`(): List<DynamicTest> = faults.flatMap { (name, fault) ->
        listOf(0L, 2L, 5L).map { millis ->
            DynamicTest.dynamicTest("$name, $millis ms after a step") {
                with(Setup()) {
                    fixture.ask(session, caller, Statement.Begin(isReadOnly = false))
                    fixture.ask(session, caller, Statement.Run(Access.WRITE, "WRITE 1 x"))
                    session.onStatement("crossing", Statement.Run(Access.WRITE, "WRITE 2 x"))
                    fixture.timers.advance(millis)
                    fault()
                    repeat(STEPS) { session.onStatement("s$it", Statement.Run(Access.READ, "READ 1")) }
                    session.onStatement("c", Statement.Commit)
                    fixture.timers.advance(10_000)

                    assertEquals(emptyList(), fixture.links.surplusAnswers)
                    assertEquals(TransactionState.IDLE, caller.answers.last().state)
                    assertTrue(caller.answers.map { it.id }.distinct().size == caller.answers.size)
                    assertEquals(STEPS + 4, caller.answers.size)
                }
            }
        }
    }

    private companion object {
        const val HOSTS = 14
        const val STEPS = 3
    }
}
