package dev.cardamomlane.core.codec

import kotlinx.serialization.Serializable
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class CborMessagesTest {
    @Serializable
    private data class Message(
        val name: String,
        val bytes: ByteArray,
        val counts: Map<String, Long>,
        val inner: List<Message> = emptyList(),
    )

    private val messages = CborMessages(Message.serializer())
    private val message =
        Message("n", ByteArray(9) { 7 }, mapOf("a" to 1L), listOf(Message("m", ByteArray(0), emptyMap())))

    @Test
    fun `a message is decoded as it was encoded`() {
        assertEquals("n", messages.decode(messages.encode(message))?.name)
    }

    /** Guards against bytes of another process that end the caller's loop instead of only their own reading. */
    @Test
    fun `bytes that are no message give null`() = SmallStack.run {
        assertNull(messages.decode(ByteArray(0)))
        for (length in 1 until messages.encode(
            message,
        ).size) {
            assertNull(messages.decode(messages.encode(message).copyOf(length)))
        }
        for (head in HEADS) assertNull(messages.decode(ByteArray(DEEP_LEVELS) { head.toByte() }), "head $head")
        val unknown = byteArrayOf(MAP_OF_ONE, TEXT_OF_ONE, 'x'.code.toByte()) + ByteArray(DEEP_LEVELS) { ARRAY_OF_ONE }
        assertNull(messages.decode(unknown))
    }

    /** Guards against a length or a count in the bytes that makes the decoder reserve memory for it. */
    @Test
    fun `a count larger than the message gives null`() {
        val sizes = listOf(0x7FFF_FFFFL, 0xFFFF_FFFFL, -1L, Long.MIN_VALUE)
        for (major in 0..7) {
            for (size in sizes) {
                val head =
                    byteArrayOf((major shl 5 or 0x1B).toByte()) + ByteArray(8) { (size shr 56 - 8 * it).toByte() }
                assertNull(messages.decode(head + ByteArray(20)), "major $major, size $size")
            }
        }
    }

    @Test
    fun `no mutated message makes it throw`() = SmallStack.run {
        val random = Random(SEED)
        val encoded = messages.encode(message)
        repeat(MUTATIONS) {
            val bytes = encoded.copyOf()
            repeat(random.nextInt(1, 5)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            messages.decode(bytes)
        }
    }

    private companion object {
        const val SEED = 37
        const val MUTATIONS = 20_000
        const val DEEP_LEVELS = 60_000
        const val MAP_OF_ONE = 0xA1.toByte()
        const val TEXT_OF_ONE = 0x61.toByte()
        const val ARRAY_OF_ONE = 0x81.toByte()

        /** Arrays, maps, tags and texts of one item, definite and indefinite. */
        val HEADS = listOf(0x81, 0xA1, 0xC1, 0x61, 0x9F, 0xBF, 0x5F, 0x7F)
    }
}
