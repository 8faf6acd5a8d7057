package dev.cardamomlane.wire.internal

import dev.cardamomlane.wire.MalformedMessageException
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil

/** Reads a text in UTF-8 that ends with a zero byte. */
internal fun ByteBuf.readText(): String {
    val lengthBytes = bytesBefore(0)
    if (lengthBytes < 0) throw MalformedMessageException("a text field has no zero byte at its end")
    val text = toString(readerIndex(), lengthBytes, Charsets.UTF_8)
    skipBytes(lengthBytes + 1)
    return text
}

/**
 * Reads a text like [readText], but throws a [MalformedMessageException] if it is not UTF-8: bytes that can't be decoded
 * would be written as others.
 */
internal fun ByteBuf.readExactText(): String {
    val start = readerIndex()
    val text = readText()
    val bytes = ByteBufUtil.getBytes(this, start, readerIndex() - 1 - start)
    if (!bytes.contentEquals(text.toByteArray())) throw MalformedMessageException("a text field is not UTF-8")
    return text
}

/** Writes [text] in UTF-8 and a zero byte after it. The text itself must contain no zero byte. */
internal fun ByteBuf.writeText(text: String): ByteBuf {
    if (text.indexOf('\u0000') >= 0) throw MalformedMessageException("a text field holds a zero byte")
    ByteBufUtil.writeUtf8(this, text)
    return writeByte(0)
}

/** Reads a 4-byte length and a value of that length; the length -1 means null. */
internal fun ByteBuf.readValue(): ByteArray? {
    val lengthBytes = readInt()
    if (lengthBytes == -1) return null
    if (lengthBytes < 0 || lengthBytes > readableBytes()) {
        throw MalformedMessageException("a value has the invalid length $lengthBytes")
    }
    return ByteArray(lengthBytes).also { readBytes(it) }
}

internal fun ByteBuf.writeValue(value: ByteArray?) {
    if (value == null) {
        writeInt(-1)
    } else {
        writeInt(value.size).writeBytes(value)
    }
}

/** Reads a 2-byte count and as many items by [read]. */
internal inline fun <T> ByteBuf.readList(read: ByteBuf.() -> T): List<T> {
    val count = readShort().toInt()
    if (count < 0) throw MalformedMessageException("a list has the negative length $count")
    return List(count) { read() }
}

/** Writes one typed message: its type, its length and the body that [body] writes. */
internal inline fun ByteBuf.writeMessage(type: Char, body: ByteBuf.() -> Unit = {}): ByteBuf {
    writeByte(type.code)
    val lengthIndex = writerIndex()
    writeInt(0)
    body()
    return setInt(lengthIndex, writerIndex() - lengthIndex)
}

/** Runs [decode] and throws a [MalformedMessageException] if it reads beyond the end of the message. */
internal inline fun <T> malformedIfTruncated(type: Char, decode: () -> T): T = try {
    decode()
} catch (error: IndexOutOfBoundsException) {
    throw MalformedMessageException("message '$type' is shorter than its fields: ${error.message}")
}
