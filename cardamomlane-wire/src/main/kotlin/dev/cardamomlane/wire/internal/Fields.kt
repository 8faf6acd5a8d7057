package dev.cardamomlane.wire.internal

import dev.cardamomlane.wire.MalformedMessageException
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil

internal fun ByteBuf.readText(): String {
    val lengthBytes = bytesBefore(0)
    if (lengthBytes < 0) throw MalformedMessageException("a text field has no end")
    val text = toString(readerIndex(), lengthBytes, Charsets.UTF_8)
    skipBytes(lengthBytes + 1)
    return text
}

internal fun ByteBuf.writeText(text: String): ByteBuf {
    if (text.indexOf('\u0000') >= 0) throw MalformedMessageException("a text field holds a zero byte")
    ByteBufUtil.writeUtf8(this, text)
    return writeByte(0)
}

/** Reads a value whose length comes first; a length of -1 stands for null. */
internal fun ByteBuf.readValue(): ByteArray? {
    val lengthBytes = readInt()
    if (lengthBytes == -1) return null
    if (lengthBytes < 0 || lengthBytes > readableBytes()) {
        throw MalformedMessageException("a value has the length $lengthBytes")
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

internal inline fun <T> ByteBuf.readList(read: ByteBuf.() -> T): List<T> {
    val count = readShort().toInt()
    if (count < 0) throw MalformedMessageException("a list has the length $count")
    return List(count) { read() }
}

/** Writes one typed message: the type, the length and what [body] writes. */
internal inline fun ByteBuf.writeMessage(type: Char, body: ByteBuf.() -> Unit = {}): ByteBuf {
    writeByte(type.code)
    val lengthIndex = writerIndex()
    writeInt(0)
    body()
    return setInt(lengthIndex, writerIndex() - lengthIndex)
}

/** Runs [decode] and turns an overrun of the body into a [MalformedMessageException]. */
internal inline fun <T> malformedIfTruncated(type: Char, decode: () -> T): T = try {
    decode()
} catch (error: IndexOutOfBoundsException) {
    throw MalformedMessageException("message '$type' is shorter than its fields: ${error.message}")
}
