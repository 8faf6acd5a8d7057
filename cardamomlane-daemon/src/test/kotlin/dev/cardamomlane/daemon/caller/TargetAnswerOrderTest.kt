package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.daemon.group.SqlTargetControl
import dev.cardamomlane.wire.NettySessionOpener
import dev.cardamomlane.wire.OpenRequest
import org.junit.jupiter.api.AfterEach
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.resources.LoopResources
import java.sql.Connection
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Targets that answer more often than they are asked, and cancel requests that arrive late. */
class TargetAnswerOrderTest {
    private val closeables = ArrayList<AutoCloseable>()

    @AfterEach
    fun close() = closeables.asReversed().forEach { it.close() }

    private fun <T : AutoCloseable> T.closedLater(): T = also { closeables += it }

    private fun target(script: (String) -> FakeTarget.Answer) = FakeTarget(script = script).closedLater()

    private fun path(one: FakeTarget, two: FakeTarget = target { rows("two") }) =
        DataPathFixture(one, two).closedLater()

    private fun rows(value: String) = FakeTarget.Answer.Rows(listOf(value))

    private fun Connection.read(sql: String = READ): String? = createStatement().use { statement ->
        if (!statement.execute(sql)) return null
        statement.resultSet.use { if (it.next()) it.getString(1) else null }
    }

    /** Guards against a caller without an answer, whose rows the next statement on the connection gets. */
    @Test
    fun `a ReadyForQuery too many does not end the statement that runs`() {
        val one = target { FakeTarget.Answer.RowsAfterReady(listOf("one")) }
        val path = path(one)

        path.connect().use { assertEquals("two", it.read()) }

        assertEquals(1, one.statements.size)
    }

    /** Guards against a connection whose answers are one behind, which is handed to the next caller. */
    @Test
    fun `a connection on which rows came while no statement ran is not used again`() {
        val one = target { FakeTarget.Answer.RowsTwice(listOf("one")) }
        val path = path(one)

        path.connect().use { assertEquals("one", it.read()) }
        Thread.sleep(FakeTarget.REPEAT_MILLIS * 3)
        path.connect().use { assertEquals("one", it.read()) }

        assertEquals(2, one.connectionsOfStatements.distinct().size)
    }

    /** Guards against a statement of another caller that a late cancel request hits. */
    @Test
    fun `a connection for which a cancel request was sent is not handed to another caller`() {
        val one = target { FakeTarget.Answer.RowsOnCancel(listOf("one")) }
        val path = path(one)

        for (count in 1..2) {
            path.connect().use { it.readAndCancel(onceRunning = { one.connectionsOfStatements.size == count }) }
        }

        assertEquals(2, one.connectionsOfStatements.distinct().size)
    }

    private fun Connection.readAndCancel(onceRunning: () -> Boolean) = createStatement().use { statement ->
        val canceller = thread {
            while (!onceRunning()) Thread.sleep(1)
            statement.cancel()
        }
        statement.execute(READ)
        canceller.join()
    }

    /** Guards against a promotion that counts as granted by the answer to the fence before it. */
    @Test
    fun `a control query is not answered by the rows of the one before`() {
        val one = target { sql ->
            if ("fence" in sql) {
                FakeTarget.Answer.RowsAfterReady(listOf("t", "1", "1", "primary"))
            } else {
                rows("f")
            }
        }
        val loops = LoopResources.create("test", 1, 1, true)
        closeables += AutoCloseable { loops.dispose() }
        val request = OpenRequest(one.address, "cardamomlane", "secret", "orders-1")
        val scheduler = Schedulers.fromExecutorService(loops.onClient(true).next())
        val control = SqlTargetControl(TargetId("one"), NettySessionOpener(loops), request, scheduler)

        val fenced = control.fence(term = 2, claimant = "h").hasElement().onErrorReturn(false)
        val promoted = control.promote(term = 2, claimant = "h").onErrorReturn(false)

        val outcomes = checkNotNull(Mono.zip(fenced, promoted).subscribeOn(scheduler).block())

        assertEquals(listOf(false, false), outcomes.toList())
    }

    private companion object {
        const val READ = "SELECT body FROM notes"
    }
}
