package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.codec.CborMessages
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Two hosts that send each other heartbeats, each as the other one's [Peer]. Every heartbeat that is accepted must equal
 * the one that was sent, whatever happens to the datagrams.
 */
class CompressedHeartbeatTest {
    private var nowMillis = 1_000L

    private inner class Host(val name: String, val incarnation: Long) {
        lateinit var peer: Peer
        val accepted = ArrayList<Heartbeat>()
        val sent = ArrayList<Heartbeat>()

        /** Keeps to [other] from now on, as after a read of its row; nothing is remembered of an earlier incarnation. */
        fun meet(other: Host) {
            peer = Peer(Member(other.name, other.incarnation, other.name, other.name), nowMillis)
        }

        fun send(offset: Long = nowMillis * 7): PeerMessage {
            val last = peer.lastHeartbeat
            val heartbeat = heartbeat(
                sentAtMillis = nowMillis,
                answeredSentAtMillis = last?.sentAtMillis ?: -1,
                answeredIncarnation = peer.member.incarnation,
                answeredHeldMillis = if (last == null) 0 else nowMillis - peer.receivedAtMillis,
                offset = offset,
            )
            sent += heartbeat
            val bytes = PeerCodec.encode(peer.encoder.encode(name, incarnation, heartbeat))
            return assertNotNull(PeerCodec.decode(bytes))
        }

        /** Handles [message] like [Fleet] does, and returns whether it was accepted. */
        fun receive(message: PeerMessage): Boolean {
            if (message.incarnation != peer.member.incarnation) {
                peer.encoder.onRestarted()
                return false
            }
            val heartbeat = peer.decode(message) ?: return false
            if (!peer.receive(heartbeat, incarnation, nowMillis)) return false
            accepted += heartbeat
            return true
        }
    }

    private fun heartbeat(
        sentAtMillis: Long,
        answeredSentAtMillis: Long,
        answeredIncarnation: Long,
        answeredHeldMillis: Long,
        offset: Long,
    ) = Heartbeat(
        sentAtMillis, answeredSentAtMillis, answeredIncarnation, answeredHeldMillis,
        proofAgeMillis = offset % 500,
        membersHash = 42,
        configurationVersion = 7,
        isInformed = true,
        isReady = true,
        heardMembers = List(8) { "host-$it" },
        groups = List(6) { status("service-$it", offset + it) },
        demand = List(8) { CustomerDemand("customer-$it", it * 1.5f, offset / (it + 1)) },
    )

    private fun status(group: String, offset: Long) = GroupStatus(
        group, StorePosition(1, 1_000), 2, "$group-a", false, false, "host-1#1700000000000", 3, 3, offset,
        positionAgeMillis = offset % 250, primaryHeardMillis = offset % 40, emptyList(), 0,
    )

    private var a = Host("a", 11)
    private var b = Host("b", 12)

    init {
        a.meet(b)
        b.meet(a)
    }

    private fun assertTrueCopies(from: Host, to: Host) {
        val sent = from.sent.associateBy { it.sentAtMillis }
        for (heartbeat in to.accepted) assertEquals(sent[heartbeat.sentAtMillis], heartbeat)
    }

    /** Both hosts send a heartbeat every 250 ms; those that [isLost] names do not arrive. */
    private fun run(rounds: Int, isLost: (Host) -> Boolean = { false }) {
        repeat(rounds) {
            nowMillis += Fleet.HEARTBEAT_MILLIS
            val fromA = a.send()
            val fromB = b.send()
            nowMillis += 20
            if (!isLost(a)) b.receive(fromA)
            if (!isLost(b)) a.receive(fromB)
        }
    }

    /** Guards against a heartbeat that is larger than it needs to be because its base is never found. */
    @Test
    fun `a heartbeat is sent as its difference from one that was acknowledged`() {
        run(rounds = 5)

        val compressed = assertNotNull(a.send().compressed)

        assertTrue(compressed.baseSentAtMillis > 0)
        val plainBytes = HeartbeatEncoder.messages.encode(a.sent.last()).size
        assertTrue(compressed.bytes.size * 3 < plainBytes, "${compressed.bytes.size} of $plainBytes")
        assertEquals(5, b.accepted.size)
        assertTrueCopies(a, b)
    }

    /** Guards against a lost heartbeat that makes the following ones unreadable. */
    @Test
    fun `every heartbeat that arrives is accepted, whichever others are lost`() {
        val random = Random(1)
        run(rounds = 3)
        var arrivedCount = b.accepted.size
        run(rounds = 500) { from ->
            val isLost = random.nextInt(3) == 0
            if (from === a && !isLost) arrivedCount++
            isLost
        }

        assertEquals(arrivedCount, b.accepted.size)
        assertTrueCopies(a, b)
        assertTrueCopies(b, a)
    }

    /** Guards against a cut of one direction that becomes a cut of both, since no acknowledgement arrives. */
    @Test
    fun `heartbeats stay readable while nothing comes back`() {
        run(rounds = 5)
        val before = b.accepted.size

        run(rounds = 40) { it === b }

        assertEquals(before + 40, b.accepted.size)
        assertEquals(CompressedHeartbeat.NO_BASE, a.send().compressed?.baseSentAtMillis)
    }

    /** Guards against late, repeated and reordered datagrams that change what a host knows, or spoil a base. */
    @Test
    fun `late and repeated heartbeats are ignored and the newest is kept`() {
        val random = Random(2)
        val underWay = ArrayList<Pair<Host, PeerMessage>>()
        repeat(4_000) {
            nowMillis += random.nextLong(1, 60)
            underWay += b to a.send()
            if (it % 4 == 0) underWay += a to b.send()
            repeat(random.nextInt(3)) {
                val index = random.nextInt(underWay.size)
                val (to, message) = if (random.nextInt(5) == 0) underWay[index] else underWay.removeAt(index)
                val newest = to.peer.lastHeartbeat?.sentAtMillis ?: -1
                val isAccepted = to.receive(message)
                val sentAtMillis = message.compressed?.sentAtMillis ?: message.heartbeat?.sentAtMillis ?: 0
                assertEquals(sentAtMillis > newest, isAccepted, "sent at $sentAtMillis, newest $newest")
                if (underWay.size > 40) underWay.removeAt(0)
                if (underWay.isEmpty()) return@repeat
            }
        }

        assertTrue(b.accepted.size > 100, "${b.accepted.size} accepted")
        assertTrueCopies(a, b)
        assertTrueCopies(b, a)
    }

    /** Guards against a base that the two hosts take for the same though it is not. */
    @Test
    fun `of two heartbeats of one millisecond none becomes a base`() {
        run(rounds = 5)
        nowMillis += 50
        a.send(offset = 1)
        val second = a.send(offset = 2)
        b.receive(second)
        val doubled = nowMillis
        a.receive(b.send())
        nowMillis += 50

        val next = a.send()

        assertTrue(next.compressed?.baseSentAtMillis != doubled)
        assertTrue(b.receive(next))
        assertEquals(a.sent.last(), b.accepted.last())
    }

    /** Guards against a receiver that restarted and can't read heartbeats for as long as the sender has not noticed. */
    @Test
    fun `a restarted receiver reads heartbeats as soon as the sender has heard of it`() {
        run(rounds = 5)
        b = Host("b", incarnation = 13).also { it.meet(a) }
        nowMillis += 100
        assertEquals(false, b.receive(a.send()), "the base is unknown after the restart")
        a.receive(b.send())
        nowMillis += 10

        val next = a.send()

        assertNotNull(next.heartbeat)
        assertTrue(b.receive(next))
        a.meet(b)
        run(rounds = 5)
        assertTrue((a.send().compressed?.baseSentAtMillis ?: -1) > 0)
        assertTrueCopies(a, b)
    }

    /** Guards against a base of the incarnation before, when the sender restarts and its clock shows the same times. */
    @Test
    fun `a restarted sender begins with whole heartbeats`() {
        run(rounds = 5)
        nowMillis -= 500
        a = Host("a", incarnation = 14).also { it.meet(b) }
        assertNotNull(a.send().heartbeat)
        b.meet(a)

        run(rounds = 5)

        assertEquals(
            5,
            b.accepted.count {
                it.answeredIncarnation == b.incarnation &&
                    it.sentAtMillis >= a.sent[1].sentAtMillis &&
                    it in a.sent
            },
        )
        assertTrueCopies(a, Host("copy", 0).also { copy -> copy.accepted += b.accepted.takeLast(5) })
    }

    /** Guards against heartbeats of a member that joins which nobody can read, and against ones that it can't read. */
    @Test
    fun `the first heartbeats between two hosts are plain`() {
        nowMillis += 10
        val first = a.send()

        assertNotNull(first.heartbeat)
        assertTrue(first.readsCompressed)
        assertTrue(b.receive(first))
        assertNotNull(b.send().compressed)
    }

    /** Guards against damage that passes for a heartbeat. */
    @Test
    fun `a damaged heartbeat is ignored`() {
        run(rounds = 5)
        nowMillis += 10
        val message = a.send()
        val compressed = assertNotNull(message.compressed)
        for (index in compressed.bytes.indices) {
            val bytes = compressed.bytes.copyOf().also { it[index] = (it[index] + 1).toByte() }
            val damaged = CompressedHeartbeat(compressed.sentAtMillis, compressed.baseSentAtMillis, bytes)
            assertNull(b.peer.decode(message.copy(compressed = damaged)), "byte $index")
        }

        assertTrue(b.receive(message))
    }

    /** Guards against an upgrade, host by host, in which builds before and after can't hear each other. */
    @Test
    fun `a host of the build before compression reads what it is sent, and is read`() {
        val previous = CborMessages(PreviousMessage.serializer())
        val plain = assertNotNull(previous.decode(PeerCodec.encode(a.send())))
        assertEquals(a.sent.last(), plain.heartbeat)
        nowMillis += 10
        val answer = PreviousMessage(b.name, b.incarnation, a.sent.last().copy(sentAtMillis = nowMillis))
        assertTrue(a.receive(assertNotNull(PeerCodec.decode(previous.encode(answer)))))

        assertNotNull(a.send().heartbeat, "a compressed heartbeat for a host that can't read it")

        run(rounds = 2)
        val ignored = assertNotNull(previous.decode(PeerCodec.encode(a.send())))
        assertNull(ignored.heartbeat)
    }
}
