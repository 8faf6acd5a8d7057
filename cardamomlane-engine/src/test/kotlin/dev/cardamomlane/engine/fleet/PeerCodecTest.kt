package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.codec.CborMessages
import dev.cardamomlane.engine.group.PromotionOrder
import dev.cardamomlane.engine.zone.ZoneDrains
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PeerCodecTest {
    @Test
    fun `a decoded heartbeat equals the encoded one`() {
        val status = GroupStatus("g", StorePosition(1, 7), 2, "t", true, false, "h#1", 3, 3, 99, 10, 5, listOf("u"), 1)
        val demand = listOf(CustomerDemand("press", 0f, 0))
        val heartbeat = Heartbeat(1, -1, 0, 0, 20, 42, 7, true, true, listOf("b"), listOf(status), demand)
        val sent = PeerMessage("a", incarnation = 0, heartbeat)
        val withCapacities = sent.copy(capacities = listOf(CapacityReport("t", 15, 100, 1, 900, 800, 40)))

        assertEquals(sent, PeerCodec.decode(PeerCodec.encode(sent)))
        assertEquals(withCapacities, PeerCodec.decode(PeerCodec.encode(withCapacities)))
        val reportBytes = PeerCodec.encode(withCapacities).size - PeerCodec.encode(sent).size
        assertTrue(reportBytes <= 30, "a report takes $reportBytes bytes")
    }

    @Test
    fun `a decoded query and a decoded list equal the encoded ones`() {
        val member = Member("b", 3, "1.2.3.4:5", "1.2.3.4:6", zone = "z", cores = 0.5)
        val list = MemberList(listOf(ListedMember(member, isReady = true)), configurationVersion = 4)
        val messages = listOf(
            PeerMessage("a", incarnation = 1, query = MemberQuery("1.2.3.4:7")),
            PeerMessage("b", incarnation = 3, list = list),
        )

        assertEquals(messages, messages.map { PeerCodec.decode(PeerCodec.encode(it)) })
    }

    /** Guards against a fleet in two parts while its hosts are replaced one at a time. */
    @Test
    fun `drains arrive, and a message without them is readable by this build and with them by the one before`() {
        val drains = ZoneDrains.of(StorePosition(2, 7), listOf("y", "x", "x"))
        val query = MemberQuery("1.2.3.4:7")
        val sent = PeerMessage("a", incarnation = 1, query = query, drains = drains)
        val before = CborMessages(PreviousMessage.serializer())
        val bytes = PeerCodec.encode(sent)

        assertEquals(drains, PeerCodec.decode(bytes)?.drains)
        assertEquals(listOf("x", "y"), drains.zones)
        assertEquals(PreviousMessage("a", 1, query = query), before.decode(bytes))
        val decoded = PeerCodec.decode(before.encode(PreviousMessage("a", 1, query = query)))
        assertEquals(sent.copy(drains = null), decoded)
    }

    /** Guards against a host that learns a claim from another one without the order that may still be carried out. */
    @Test
    fun `a heartbeat brings the order and the first fence of a record, and the build before ignores both`() {
        val status = GroupStatus("g", StorePosition(1, 7), 5, "t", true, true, "h#1", 3, 3, 9, 1, 5, listOf(), 4)
        val record = status.record(null)!!
            .copy(order = PromotionOrder(TargetId("u"), fence = 5, attempt = 2, openCount = 2), takeoverFence = 4)
        val sent = PeerMessage("a", incarnation = 1, details = RecordDetail.of(listOf(record)))
        val bytes = PeerCodec.encode(sent)

        assertEquals(record, status.record(PeerCodec.decode(bytes)?.details?.single()))
        assertEquals(PreviousMessage("a", 1), CborMessages(PreviousMessage.serializer()).decode(bytes))
        assertNull(RecordDetail.of(listOf(status.record(null)!!)))
    }

    /** Guards against a host that learns a record from another one without the start of the primary's term. */
    @Test
    fun `a heartbeat brings how far the log of a primary went when it became one, and the build before ignores it`() {
        val status = GroupStatus("g", StorePosition(1, 7), 5, "t", true, true, "h#1", 3, 3, 9, 1, 5, listOf(), 4)
        val record = status.record(null)!!.copy(startOfTerm = LogPosition(3, 387))
        val sent = PeerMessage("a", incarnation = 1, termStarts = TermStart.of(listOf(record)))
        val bytes = PeerCodec.encode(sent)

        assertEquals(record, status.record(null, PeerCodec.decode(bytes)?.termStarts?.single()))
        assertEquals(PreviousMessage("a", 1), CborMessages(PreviousMessage.serializer()).decode(bytes))
        assertNull(TermStart.of(listOf(status.record(null)!!)))
    }

    @Test
    fun `bytes that are no message decode to null`() {
        for (bytes in listOf(byteArrayOf(), byteArrayOf(1, 2, 3), "START a".toByteArray())) {
            assertNull(PeerCodec.decode(bytes))
        }
    }
}
