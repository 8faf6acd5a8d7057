package dev.cardamomlane.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import reactor.core.publisher.Mono
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class ConfigurationStoreTest {
    private val table = MemoryPlatformTable()
    private val store = ConfigurationStore(table)

    @Test
    fun `starts with nothing accepted`() {
        assertEquals(ConfigurationHead(accepted = 0, proposed = null), head())
        assertEquals(Revision.NONE, store.read(0).block())
    }

    @Test
    fun `an accepted proposal stays accepted`() {
        assertEquals(1L.right(), propose(basedOn = 0, "a"))
        assertEquals(ConfigurationHead(accepted = 0, proposed = 1), head())

        assertEquals(AcceptOutcome.ACCEPTED, accept(1))
        assertEquals(AcceptOutcome.ACCEPTED, accept(1))
        assertEquals(ConfigurationHead(accepted = 1, proposed = null), head())
        assertEquals("a", store.read(1).block()?.author)
    }

    @Test
    fun `a draft based on an older revision is refused`() {
        acceptedRevision()

        assertEquals(ProposalRefusal.OutdatedBase(head()).left(), propose(basedOn = 0, "late"))
    }

    @Test
    fun `the second of two concurrent proposals is refused with the number of the first`() {
        val outcomes = Mono.zip(store.propose(0, draft("a")), store.propose(0, draft("b"))).block()!!

        assertEquals(1L.right(), outcomes.t1)
        assertEquals(ProposalRefusal.PendingProposal(1).left(), outcomes.t2)
    }

    @Test
    fun `a proposal is refused when another one is written between its read and its write`() {
        val racing = RacingTable(table) { propose(basedOn = 0, "other") }

        val outcome = ConfigurationStore(racing).propose(0, draft("slow")).block()

        assertEquals(ProposalRefusal.PendingProposal(1).left(), outcome)
        assertEquals("other", store.read(1).block()?.author)
    }

    @Test
    fun `a proposal left by a tool that failed can be superseded and its number is not reused`() {
        propose(basedOn = 0, "died")

        assertEquals(2L.right(), store.propose(0, draft("next"), superseding = 1).block())
        assertEquals(AcceptOutcome.SUPERSEDED, accept(1))
        assertEquals(AcceptOutcome.ACCEPTED, accept(2))
        assertEquals(3L.right(), propose(basedOn = 2, "later"))
    }

    @Test
    fun `accepting an older revision again does not put it back in force`() {
        acceptedRevision()
        propose(basedOn = 1, "b")
        accept(2)

        assertEquals(AcceptOutcome.ACCEPTED, accept(1))
        assertEquals(2, head().accepted)
    }

    @Test
    fun `a draft above the size of a row is refused`() {
        val large = Draft("#".repeat(ConfigurationStore.MAX_VALUE_BYTES), persistentListOf(), "a")

        assertEquals(true, store.propose(0, large).block()?.isLeft())
    }

    @TestFactory
    fun `lost requests and answers leave exactly one complete proposal`() = listOf(
        Fault("answer lost once") { answersToLose = 1 },
        Fault("answer lost twice") { answersToLose = 2 },
        Fault("request lost once") { requestsToLose = 1 },
        Fault("request and answer lost") {
            requestsToLose = 1
            answersToLose = 1
        },
    ).map { fault ->
        DynamicTest.dynamicTest(fault.name) {
            val faulty = MemoryPlatformTable()
            val faultyStore = ConfigurationStore(faulty)
            fault.inject(faulty)
            assertEquals(1L.right(), faultyStore.propose(0, draft("a")).block())
            fault.inject(faulty)
            assertEquals(AcceptOutcome.ACCEPTED, faultyStore.accept(1).block())
            assertEquals(ConfigurationHead(accepted = 1, proposed = null), faultyStore.head().block())
        }
    }

    @Test
    fun `after a lost answer the stored token shows that the write was applied`() {
        val forgetful = ForgetfulTable(table)

        assertEquals(1L.right(), ConfigurationStore(forgetful).propose(0, draft("a")).block())
    }

    @Test
    fun `operations on an unavailable table fail and change nothing`() {
        table.down = true

        assertFailsWith<PlatformUnavailableException> { propose(basedOn = 0, "a") }
        assertFailsWith<PlatformUnavailableException> { accept(1) }
        table.down = false
        assertEquals(ConfigurationHead(accepted = 0, proposed = null), head())
    }

    // Tools got the exception of a parser, or a number that had overflowed, in place of the promised failure.
    @TestFactory
    fun `rows that no tool writes fail as unavailable`() = listOf(
        "config/head" to """{"accepted":9223372036854775807}""",
        "config/head" to """{"accepted":0,"proposed":9223372036854775807}""",
        "config/head" to """{"accepted":1,"proposed":1}""",
        "config/head" to """{"accepted":1e999}""",
        "config/head" to "[".repeat(60_000),
        "config/revision/7" to """{"rules":"","keys":[{"id":" ","customer":"c","hash":""}],"basedOn":0,"author":""}""",
        "config/revision/7" to "\u0000",
    ).map { (key, value) ->
        DynamicTest.dynamicTest("$key ${value.take(40)}") {
            val odd = MemoryPlatformTable()
            odd.write(listOf(ConditionalWrite(key, 0, value)), token = "1").block()
            val oddStore = ConfigurationStore(odd)
            val failure = assertFailsWith<PlatformUnavailableException> {
                if (key == "config/head") oddStore.propose(0, draft("a")).block() else oddStore.read(7).block()
            }
            assertTrue(key in failure.message.orEmpty(), failure.message)
        }
    }

    private class Fault(val name: String, val inject: MemoryPlatformTable.() -> Unit)

    /** Calls [writeOther], a write of another operator, just before the first write. */
    private class RacingTable(val table: PlatformTable, val writeOther: () -> Unit) : PlatformTable by table {
        private var hasRaced = false

        override fun write(writes: List<ConditionalWrite>, token: String) = Mono.defer {
            if (!hasRaced) {
                hasRaced = true
                writeOther()
            }
            table.write(writes, token)
        }
    }

    /** Loses the first answer and does not recognize the token of a retry. */
    private class ForgetfulTable(val table: PlatformTable) : PlatformTable by table {
        private var writes = 0

        override fun write(writes: List<ConditionalWrite>, token: String) = Mono.defer {
            val attempt = this.writes++
            val answer = table.write(writes, "$attempt")
            if (attempt == 0) answer.then(Mono.error(PlatformUnavailableException("answer lost"))) else answer
        }
    }

    private fun acceptedRevision() {
        propose(basedOn = 0, "a")
        accept(1)
    }

    private fun draft(author: String) = Draft(rulesText = "", keys = persistentListOf(), author)

    private fun head() = store.head().block()!!

    private fun accept(revision: Long) = store.accept(revision).block()

    private fun propose(basedOn: Long, author: String): Either<ProposalRefusal, Long>? =
        store.propose(basedOn, draft(author)).block()
}
