package dev.cardamomlane.wire.peer

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertFailsWith

class PeerRangesTest {
    private val level = PeerMessage.Level(recordVersion = 1, isRecordSettled = true, confirmedRevision = 1)
    private val member = PeerMessage.MemberAddress("host-1", incarnation = 1, "127.0.0.1:1")

    // A returned loan of NaN tokens made every later statement of the customer fail; infinite ones lifted its limit.
    @TestFactory
    fun `tokens that are not finite or negative are refused`() =
        listOf(Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1.0, 1e300).flatMap { bad ->
            listOf(
                refused("requested $bad") { FleetMessages.share(PeerMessage.LoanRequest("c", 1, bad, 1, 1.0)) },
                refused("remaining $bad") { FleetMessages.share(PeerMessage.LoanRequest("c", 1, 1.0, 1, bad)) },
                refused("returned $bad") { FleetMessages.share(PeerMessage.LoanReturn("c", 1, bad)) },
                refused("granted $bad") { FleetMessages.share(grant(tokens = bad)) },
                refused("burst $bad") { FleetMessages.share(grant(burst = bad)) },
                refused("holding $bad") { FleetMessages.share(grant(holderBurst = bad)) },
                refused("rate $bad") { FleetMessages.share(grant(holderRatePerSecond = bad)) },
            )
        }

    // A term of Long.MAX_VALUE made the end of a loan overflow.
    @TestFactory
    fun `a term that no loan can have is refused`() = listOf(-1, Long.MIN_VALUE, Long.MAX_VALUE).map { bad ->
        refused("term $bad") { FleetMessages.share(grant(termMillis = bad)) }
    }

    // An age below 0 is evidence from the future, with which a host without the platform stays in good standing.
    @TestFactory
    fun `an age of the platform's evidence that is negative or too large is refused`() =
        listOf(-1, Long.MIN_VALUE, Long.MAX_VALUE).map { bad ->
            refused("age $bad") { FleetMessages.answer(answer(platformAgeMillis = bad)) }
        }

    // The version or revision after Long.MAX_VALUE is negative, and a host never goes back to a lower one.
    @TestFactory
    fun `versions and revisions that no fleet reaches are refused`() =
        listOf(-1, Long.MIN_VALUE, Long.MAX_VALUE).flatMap { bad ->
            val record = PeerMessage.Record(bad, listOf(member))
            listOf(
                refused("record $bad") { FleetMessages.answer(answer(record = record)) },
                refused("accepted $bad") { FleetMessages.answer(answer(accepted = bad)) },
                refused("proposed $bad") { FleetMessages.answer(answer(proposed = bad)) },
                refused("level $bad") {
                    FleetMessages.question(PeerMessage.Question(1, level.copy(recordVersion = bad)))
                },
                refused("confirmed $bad") {
                    FleetMessages.question(PeerMessage.Question(1, level.copy(confirmedRevision = bad)))
                },
                refused("content $bad") {
                    FleetMessages.configuration(PeerMessage.RevisionContent(bad, "", emptyList()))
                },
            )
        }

    // A member that occurs twice would count twice towards a majority.
    @TestFactory
    fun `a record that names a member twice is refused`() = listOf(
        refused("members") {
            FleetMessages.answer(answer(record = PeerMessage.Record(1, listOf(member, member))))
        },
        refused("previous members") {
            FleetMessages.answer(answer(record = PeerMessage.Record(1, listOf(member), listOf(member, member))))
        },
    )

    private fun refused(name: String, decode: () -> Any?) = DynamicTest.dynamicTest(name) {
        assertFailsWith<IllegalArgumentException> { decode() }
    }

    private fun grant(
        burst: Double = 1.0,
        tokens: Double = 1.0,
        termMillis: Long = 1_000,
        holderRatePerSecond: Double = 1.0,
        holderBurst: Double = 1.0,
    ) = PeerMessage.LoanGrant(
        "c", 1, 1, burst, tokens, termMillis, holderRatePerSecond, holderBurst, 1,
    )

    private fun answer(
        accepted: Long = 1,
        proposed: Long? = null,
        record: PeerMessage.Record? = null,
        platformAgeMillis: Long? = 1,
    ) = PeerMessage.Answer(
        questionId = 1,
        level = level,
        accepted = accepted,
        proposed = proposed,
        record = record,
        ages = ByteArray(1),
        confirmations = ByteArray(1),
        platformAgeMillis = platformAgeMillis,
    )
}
