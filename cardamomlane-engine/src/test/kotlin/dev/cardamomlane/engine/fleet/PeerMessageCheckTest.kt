package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.core.codec.CborMessages
import dev.cardamomlane.engine.FakeStore
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.zone.ZoneDrains
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.cbor.CborLabel
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Messages of other hosts with values that no host can have. */
class PeerMessageCheckTest {
    private val timers = ManualTimerService()
    private val store = FakeStore()
    private val records = GroupRecords()
    private val delegate = object : HeartbeatDelegate {
        override val configurationVersion = 1L
        override val isReady = true

        override fun groupStatuses(nowMillis: Long) = emptyList<GroupStatus>()

        override fun demand(nowMillis: Long) = emptyList<CustomerDemand>()

        override fun onGroupStatuses(peer: Peer, statuses: List<GroupStatus>, nowMillis: Long) = Unit
    }
    private val network = object : PeerNetwork {
        override fun send(address: String, message: PeerMessage) = Unit
    }
    private val self = Member("a", 1, "10.0.0.1:1", "10.0.0.1:2", "z")
    private val fleet =
        Fleet(self, listOf("z"), { emptyList() }, timers, store, network, records, DecisionLog.None, delegate)

    private fun start() {
        listOf(self, Member("b", 1, "10.0.0.2:1", "10.0.0.2:2", "z")).forEachIndexed { seat, member ->
            store.write(ControlChange(0, seats = persistentListOf(SeatChange(seat, member, 0)))).block()
        }
        fleet.refresh()
        timers.every(Fleet.HEARTBEAT_MILLIS) { fleet.tick() }
        timers.advance(1_000)
        check(fleet.isRegistered)
    }

    private val status = GroupStatus(
        group = "g", position = StorePosition(1, 1), fence = 1, primary = "t", isChanging = false, isPlanned = false,
        holder = "a#1", recordTerm = 1, positionTerm = 2, positionOffset = 3, positionAgeMillis = 4,
        primaryHeardMillis = 5, unreachable = listOf("u"), confirmedFence = 1,
    )
    private val heartbeat = Heartbeat(
        sentAtMillis = 1, answeredSentAtMillis = 500, answeredIncarnation = 1, answeredHeldMillis = 10,
        proofAgeMillis = 0,
        membersHash = listOf("a", "b").hashCode(), configurationVersion = 1, isInformed = true, isReady = true,
        heardMembers = listOf("a"), groups = listOf(status), demand = listOf(CustomerDemand("c", 1f, 2)),
    )

    private fun decoded(heartbeat: Heartbeat) = PeerCodec.decode(PeerCodec.encode(PeerMessage("b", 1, heartbeat)))

    private fun deliver(heartbeat: Heartbeat, details: List<RecordDetail>? = null) =
        decoded(heartbeat)?.let { fleet.onMessage(it.copy(details = details)) }

    @Test
    fun `a message whose values a host can have is decoded`() {
        assertNotNull(decoded(heartbeat))
    }

    /** Guards against values that stay the newest for good once they are believed, and against sums that overflow. */
    @Test
    fun `a message with a value out of range is dropped`() {
        val statuses = listOf(
            status.copy(group = ""), status.copy(primary = " "), status.copy(fence = Long.MAX_VALUE),
            status.copy(fence = 1_000_001), status.copy(fence = -1), status.copy(confirmedFence = 2),
            status.copy(recordTerm = Long.MAX_VALUE), status.copy(positionTerm = Long.MAX_VALUE),
            status.copy(positionOffset = -1), status.copy(primaryHeardMillis = Long.MIN_VALUE),
        )
        val demands = listOf(
            CustomerDemand("", 1f, 1),
            CustomerDemand("c", Float.NaN, 1),
            CustomerDemand("c", Float.POSITIVE_INFINITY, 1),
            CustomerDemand("c", -1f, 1),
            CustomerDemand("c", 1f, Long.MAX_VALUE),
            CustomerDemand("c", 1f, -1),
        )
        val heartbeats = listOf(
            heartbeat.copy(sentAtMillis = Long.MAX_VALUE),
            heartbeat.copy(answeredHeldMillis = Long.MAX_VALUE),
            heartbeat.copy(proofAgeMillis = Long.MIN_VALUE),
            heartbeat.copy(configurationVersion = Long.MAX_VALUE),
        ) + statuses.map { heartbeat.copy(groups = listOf(it)) } + demands.map { heartbeat.copy(demand = listOf(it)) }
        for (odd in heartbeats) assertNull(decoded(odd), "$odd")
    }

    /** Guards against an order or a first fence that stays the newest for good once it is believed. */
    @Test
    fun `a heartbeat whose record details are out of range is ignored`() {
        start()
        val order = OrderStatus("t", fence = 1, attempt = 1, openCount = 1)
        val odd = listOf(
            RecordDetail("g", takeoverFence = 1_000_001),
            RecordDetail("g", takeoverFence = -1),
            RecordDetail("g", takeoverFence = 1, order.copy(target = " ")),
            RecordDetail("g", takeoverFence = 1, order.copy(fence = Long.MAX_VALUE)),
            RecordDetail("g", takeoverFence = 1, order.copy(attempt = Int.MAX_VALUE)),
            RecordDetail("g", takeoverFence = 1, order.copy(openCount = -1)),
        )
        odd.forEachIndexed { index, detail ->
            deliver(heartbeat.copy(sentAtMillis = index + 1L), listOf(detail))
            assertNull(records.record(DatabaseId("g")), "$detail")
        }

        deliver(heartbeat.copy(sentAtMillis = 100), listOf(RecordDetail("g", takeoverFence = 1, order)))

        assertEquals(order.order(), records.record(DatabaseId("g"))?.order)
    }

    /** Guards against a compressed heartbeat that passes unchecked. */
    @Test
    fun `a compressed heartbeat with a value out of range is dropped`() {
        val compression = HeartbeatCompression()
        val bytes = HeartbeatEncoder.messages.encode(heartbeat.copy(configurationVersion = Long.MAX_VALUE))
        val compressed = CompressedHeartbeat(1, CompressedHeartbeat.NO_BASE, compression.compress(bytes, base = null)!!)

        assertNull(HeartbeatDecoder(compression).decode(compressed))
    }

    /** Guards against proof of the future, which would never grow old. */
    @Test
    fun `proof ends although a heartbeat was held for longer than its sender can have had it`() {
        start()
        deliver(heartbeat.copy(answeredHeldMillis = 1_000_000_000_000))
        store.isDown = true
        timers.advance(60_000)

        assertFalse(records.isCurrent(timers.nowMillis()))
    }

    @Test
    fun `an ordinary heartbeat gives proof, which ends`() {
        start()
        store.isDown = true
        timers.advance(1_000)
        val before = records.provedAtMillis
        deliver(heartbeat.copy(answeredSentAtMillis = timers.nowMillis() - 10))

        assertTrue(records.provedAtMillis > before)
        timers.advance(9_000)
        assertFalse(records.isCurrent(timers.nowMillis()))
    }

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @CborArray
    private data class AnyDrains(val position: List<Long>, val zones: List<String>)

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    private data class AnyMessage(
        @CborLabel(1) val from: String,
        @CborLabel(2) val incarnation: Long,
        @CborLabel(9) val drains: AnyDrains,
    )

    /** Guards against drains that are never read again after a message with a position beyond any store's. */
    @Test
    fun `a message with a position out of range is dropped`() {
        val messages = CborMessages(AnyMessage.serializer())
        fun decoded(vararg position: Long) =
            PeerCodec.decode(messages.encode(AnyMessage("b", 1, AnyDrains(position.toList(), listOf("z")))))

        assertEquals(ZoneDrains(StorePosition(1, 2), listOf("z")), decoded(1, 2)?.drains)
        assertNull(decoded(Long.MAX_VALUE, 1))
        assertNull(decoded(1, Long.MAX_VALUE))
    }

    /** Guards against a decoder that throws where its contract says null. */
    @Test
    fun `no mutated message makes the codec throw`() {
        val message = PeerMessage(
            "b",
            7,
            heartbeat,
            capacities = listOf(CapacityReport("t", 1, 2, 3, 4, 5, 6)),
            drains = ZoneDrains(StorePosition(1, 2), listOf("z")),
        )
        val random = Random(SEED)
        val encoded = PeerCodec.encode(message)
        repeat(MUTATIONS) {
            val bytes = encoded.copyOf()
            repeat(random.nextInt(1, 5)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            PeerCodec.decode(bytes)
        }
    }

    /** Guards against control rows that are never read again after one error of the JVM. */
    @Test
    fun `the store is read after rows whose handling failed`() {
        for (failure in listOf(StackOverflowError("test"), IllegalStateException("test"))) {
            var handled = 0
            val reader = StoreReader(timers, ControlTable(store), DecisionLog.None, Random(1), { _, _ ->
                if (handled++ == 0) throw failure
            })
            runCatching { reader.read() }
            repeat(20) {
                timers.advance(500)
                reader.refresh(GroupRecords.NEVER)
            }

            assertTrue(handled > 1, "$failure")
        }
    }

    private companion object {
        const val SEED = 37
        const val MUTATIONS = 50_000
    }

    /** Guards against a start of a term that no log has, for which a group would wait with each takeover. */
    @Test
    fun `a message with the start of a term that is out of range is dropped`() {
        val odd = listOf(TermStart("g", -1, 1), TermStart("g", 1, -1), TermStart("g", Long.MAX_VALUE, 1))
        for (start in odd) {
            val message = PeerMessage("b", 1, heartbeat, termStarts = listOf(start))
            assertNull(PeerCodec.decode(PeerCodec.encode(message)), "$start")
        }
        val valid = PeerMessage("b", 1, heartbeat, termStarts = listOf(TermStart("g", 1, 1)))
        assertEquals(valid, PeerCodec.decode(PeerCodec.encode(valid)))
    }
}
