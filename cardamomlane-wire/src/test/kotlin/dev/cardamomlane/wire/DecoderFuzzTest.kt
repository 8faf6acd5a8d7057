package dev.cardamomlane.wire

import dev.cardamomlane.wire.peer.FleetMessages
import dev.cardamomlane.wire.peer.PeerCodec
import dev.cardamomlane.wire.peer.PeerMessage
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals

/** Feeds the decoders with mutated messages. The seed is fixed, so that the verdict is the same on every run. */
class DecoderFuzzTest {
    private val random = Random(SEED)

    // An exception that its readers don't expect ends a connection, or the part of the host that reads it.
    @Test
    fun `a mutated message is decoded or malformed`() {
        val samples = listOf(
            FrontendWriter.query(Unpooled.buffer(), "SELECT 1"),
            FrontendWriter.parse(Unpooled.buffer(), "s", "SELECT $1", listOf(23, 25)),
            FrontendWriter.describe(Unpooled.buffer(), NameKind.PORTAL, "p"),
            BackendWriter.dataRow(Unpooled.buffer(), listOf("a".toByteArray(), null, ByteArray(0))),
            BackendWriter.error(Unpooled.buffer(), ServerError("57P01", "text", detail = "d", hint = "h")),
            BackendWriter.parameterStatus(Unpooled.buffer(), "name", "value"),
            BackendWriter.readyForQuery(Unpooled.buffer(), TransactionStatus.IDLE),
            Unpooled.wrappedBuffer(BIND),
        ).map(::bytesOf)
        val unexpected = fuzz(samples, minBytes = FrameDecoders.HEADER_BYTES) { frame ->
            malformed { FrontendMessage.decode(Unpooled.wrappedBuffer(frame)) }
            malformed { BackendMessage.decode(Unpooled.wrappedBuffer(frame)) }
            malformed { FrontendWriter.bindTo(Unpooled.buffer(), Unpooled.wrappedBuffer(frame), "s") }
        }
        assertEquals(emptyMap(), unexpected)
    }

    // As above, for what a caller sends before it is known.
    @Test
    fun `a mutated startup message is decoded or malformed`() {
        val parameters = mapOf("user" to "u", "database" to "d", "options" to "-c a=b")
        val samples = listOf(
            StartupMessage.writeSession(Unpooled.buffer(), parameters),
            StartupMessage.writeCancel(Unpooled.buffer(), processId = 1, secretKey = 2),
        ).map(::bytesOf)
        val unexpected = fuzz(samples, minBytes = Int.SIZE_BYTES) { frame ->
            malformed { StartupMessage.decode(Unpooled.wrappedBuffer(frame)) }
        }
        assertEquals(emptyMap(), unexpected)
    }

    // An exception of the codec or of a conversion ends the link between two hosts.
    @Test
    fun `a mutated message of a peer is decoded, unknown or refused`() {
        val level = PeerMessage.Level(recordVersion = 1, isRecordSettled = true, confirmedRevision = 1)
        val member = PeerMessage.MemberAddress("host-1", incarnation = 1, "127.0.0.1:1")
        val record = PeerMessage.Record(2, listOf(member), listOf(member))
        val samples = listOf(
            PeerMessage.Hello(1, "host-1", 1, ByteArray(16)),
            PeerMessage.Question(1, level),
            PeerMessage.Answer(1, level, 1, 2, record, ByteArray(2), ByteArray(1), 20),
            PeerMessage.RevisionContent(1, "customer c rate=1/s burst=1 # t", listOf(PeerMessage.Key("k", "c", "h"))),
            PeerMessage.LoanRequest("c", 1, 1.0, 1, 1.0),
            PeerMessage.LoanGrant("c", 1, 1, 1.0, 1.0, 1_000, 1.0, 1.0, 1),
            PeerMessage.LoanReturn("c", 1, 1.0),
        ).map { PeerCodec.encode(it) }
        val unexpected = fuzz(samples, minBytes = 0) { bytes ->
            val message = PeerCodec.decode(bytes)
            try {
                message?.let(::convert)
            } catch (_: IllegalArgumentException) {
                // A value out of range, as the contract of FleetMessages says.
            }
        }
        assertEquals(emptyMap(), unexpected)
    }

    private fun convert(message: PeerMessage): Any? = when (message) {
        is PeerMessage.Question -> FleetMessages.question(message)
        is PeerMessage.Answer -> FleetMessages.answer(message)
        is PeerMessage.RevisionContent -> FleetMessages.configuration(message)
        is PeerMessage.LoanRequest -> FleetMessages.share(message)
        is PeerMessage.LoanGrant -> FleetMessages.share(message)
        is PeerMessage.LoanReturn -> FleetMessages.share(message)
        else -> null
    }

    private fun malformed(decode: () -> Any?) {
        try {
            decode()
        } catch (_: MalformedMessageException) {
            // What the contract of the decoders names.
        }
    }

    /** Returns how often [read] threw what, on a thread with a small stack, as event loops have. */
    private fun fuzz(samples: List<ByteArray>, minBytes: Int, read: (ByteArray) -> Unit): Map<String, Int> {
        val unexpected = HashMap<String, Int>()
        val runs = Runnable {
            repeat(RUNS) {
                val bytes = mutated(samples.random(random), minBytes)
                try {
                    read(bytes)
                } catch (failure: Throwable) {
                    unexpected.merge(failure.javaClass.name, 1, Int::plus)
                }
            }
        }
        Thread(null, runs, "fuzz", STACK_BYTES).apply { start() }.join()
        return unexpected
    }

    private fun mutated(sample: ByteArray, minBytes: Int): ByteArray {
        val length = if (random.nextInt(4) == 0) random.nextInt(minBytes, sample.size + 1) else sample.size
        val bytes = sample.copyOf(length)
        repeat(random.nextInt(4)) {
            val odd = if (random.nextBoolean()) ODD_BYTES.random(random) else random.nextInt().toByte()
            if (bytes.isNotEmpty()) bytes[random.nextInt(bytes.size)] = odd
        }
        return if (random.nextInt(1_000) == 0) bytes + ByteArray(NESTED) { NESTED_ARRAY } else bytes
    }

    private fun bytesOf(buffer: ByteBuf): ByteArray = ByteArray(buffer.readableBytes()).also { buffer.readBytes(it) }

    private companion object {
        const val SEED = 37
        const val RUNS = 100_000
        const val STACK_BYTES = 256L * 1_024

        /** In levels. */
        const val NESTED = 60_000

        /** CBOR's head of an array with one item. */
        const val NESTED_ARRAY = 0x81.toByte()

        /** Ends of ranges, text controls, and CBOR's heads of long, indefinite and nested values. */
        val ODD_BYTES = "00 01 0d 0a 7f 80 ff fe 1b 3b 5b 5f 7b 81 9b 9f bb bf c1 fb".split(' ')
            .map { it.toInt(16).toByte() }
        val BIND = byteArrayOf('B'.code.toByte(), 0, 0, 0, 21) + "p\u0000s\u0000".toByteArray() +
            byteArrayOf(0, 1, 0, 1, 0, 1, 0, 0, 0, 1, 42, 0, 0)
    }
}
