package dev.cardamomlane.standin.lane.line

import java.io.FilterInputStream
import java.io.InputStream

/** Reads no more than [bytesPerMilli] from [input] on average, as over a slow link. Owned by one thread. */
internal class ThrottledInput(input: InputStream, private val bytesPerMilli: Int) : FilterInputStream(input) {
    /** What was read since the last pause. */
    private var unpaidBytes = 0

    override fun read(): Int {
        val byte = ByteArray(1)
        return if (read(byte, 0, 1) < 0) -1 else byte[0].toInt() and BYTE_MASK
    }

    override fun read(bytes: ByteArray, offset: Int, length: Int): Int {
        val count = super.read(bytes, offset, length)
        unpaidBytes += maxOf(0, count)
        if (unpaidBytes >= bytesPerMilli) Thread.sleep((unpaidBytes / bytesPerMilli).toLong())
        unpaidBytes %= bytesPerMilli
        return count
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
