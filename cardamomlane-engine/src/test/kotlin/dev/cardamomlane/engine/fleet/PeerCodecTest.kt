package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.ShareMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class PeerCodecTest {
    private val customer = CustomerId("press")
    private val shares = listOf(
        ShareMessage.Ask(customer, askId = 1, tokens = 2.5, loanSequence = 0, remaining = 0.0),
        ShareMessage.Lend(
            customer = customer,
            askId = 1,
            sequence = 7,
            burst = 3.0,
            tokens = 2.0,
            termMillis = 1_000,
            lenderHolding = Allowance(ratePerSecond = 10.0, burst = 20.0),
            retryAfterMillis = 0,
        ),
        ShareMessage.Return(customer, sequence = 7, tokens = 0.0),
    )

    @Test
    fun `every share message survives the way to another host`() {
        for (share in shares) {
            val sent = PeerMessage("a", incarnation = 5, share = ShareNote.of(share))

            val arrived = PeerCodec.decode(PeerCodec.encode(sent))

            assertEquals(share, arrived?.share?.message())
        }
    }

    @Test
    fun `a heartbeat survives the way to another host`() {
        val note = GroupNote("g", 1, 2, "t", true, false, "h#1", 3, 3, 99, 10, 5, listOf("u"), 1)
        val heartbeat = Heartbeat(1, -1, 0, 0, 20, 42, 7, 3L, listOf(note))
        val sent = PeerMessage("a", incarnation = 5, heartbeat = heartbeat)

        assertEquals(sent, PeerCodec.decode(PeerCodec.encode(sent)))
    }

    @Test
    fun `bytes that are no message are ignored`() {
        for (bytes in listOf(byteArrayOf(), byteArrayOf(1, 2, 3), "START a".toByteArray())) {
            assertNull(PeerCodec.decode(bytes))
        }
    }
}
