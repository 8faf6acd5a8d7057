package dev.cardamomlane.engine.fleet

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class PeerCodecTest {
    @Test
    fun `a decoded heartbeat equals the encoded one`() {
        val status = GroupStatus("g", 1, 2, "t", true, false, "h#1", 3, 3, 99, 10, 5, listOf("u"), 1)
        val heartbeat = Heartbeat(1, -1, 0, 0, 20, 42, 7, 3L, listOf(status), listOf(CustomerDemand("press", 0f, 0)))
        val sent = PeerMessage("a", incarnation = 0, heartbeat)

        assertEquals(sent, PeerCodec.decode(PeerCodec.encode(sent)))
    }

    @Test
    fun `bytes that are no message decode to null`() {
        for (bytes in listOf(byteArrayOf(), byteArrayOf(1, 2, 3), "START a".toByteArray())) {
            assertNull(PeerCodec.decode(bytes))
        }
    }
}
