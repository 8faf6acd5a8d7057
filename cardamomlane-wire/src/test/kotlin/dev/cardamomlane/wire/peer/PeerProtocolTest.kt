package dev.cardamomlane.wire.peer

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.KnowledgeLevel
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.fleet.MemberRecord
import dev.cardamomlane.core.fleet.PeerAnswer
import dev.cardamomlane.core.fleet.RevisionHead
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.Test
import java.security.SecureRandom
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PeerProtocolTest {
    private val random = SecureRandom()
    private val left = MemberId(HostId("left"), incarnation = 1)
    private val right = MemberId(HostId("right"), incarnation = 2)

    @Test
    fun `an encoded answer decodes to the same values`() {
        val record = MemberRecord(7, persistentListOf(Member(left, "127.0.0.1:1")), previous = null)
        val answer = PeerAnswer(
            questionId = 5,
            level = KnowledgeLevel(7, isRecordSettled = true, confirmedRevision = 9),
            head = RevisionHead(accepted = 8, proposed = 9),
            record = record,
            ages = byteArrayOf(0, -1),
            confirmations = byteArrayOf(3),
            platformAgeMillis = 120,
        )
        val bytes = PeerCodec.encode(FleetMessages.of(answer))
        val decoded = FleetMessages.answer(PeerCodec.decode(bytes) as PeerMessage.Answer)

        assertEquals(record, decoded.record)
        assertEquals(answer.level, decoded.level)
        assertEquals(answer.head, decoded.head)
        assertContentEquals(answer.ages, decoded.ages)
        assertEquals(120, decoded.platformAgeMillis)
    }

    @Test
    fun `bytes that are no message decode to null`() {
        val samples = listOf(byteArrayOf(), byteArrayOf(1, 2, 3), ByteArray(64) { -1 }, "hello".toByteArray())
        for (bytes in samples) assertNull(PeerCodec.decode(bytes))
    }

    @Test
    fun `both sides accept each other's proof only with the same secret`() {
        for ((secret, isAccepted) in listOf("same" to true, "other" to false)) {
            val initiator = PeerHandshake("same", left, isInitiator = true, random)
            val acceptor = PeerHandshake(secret, right, isInitiator = false, random)
            assertEquals(isAccepted, acceptor.accepts(initiator.hello(), initiator.proof(acceptor.hello())))
            assertEquals(isAccepted, initiator.accepts(acceptor.hello(), acceptor.proof(initiator.hello())))
        }
    }

    @Test
    fun `a reflected proof is refused`() {
        val initiator = PeerHandshake("same", left, isInitiator = true, random)
        val reflected = initiator.proof(initiator.hello())

        assertFalse(initiator.accepts(initiator.hello(), reflected))
    }

    @Test
    fun `a hello of another protocol version is refused`() {
        val hello = PeerMessage.Hello(PeerMessage.PROTOCOL_VERSION + 1, "right", 1, ByteArray(16))

        assertNull(PeerHandshake("same", left, isInitiator = true, random).claimed(hello))
    }

    @Test
    fun `a heartbeat question is smaller than 32 bytes`() {
        val question = PeerMessage.Question(123_456, PeerMessage.Level(12, isRecordSettled = true, 345))

        assertTrue(PeerCodec.encode(question).size < 32)
    }
}
