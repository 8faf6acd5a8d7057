package dev.cardamomlane.standin.lane.line

import java.io.InputStream

/** Reads lines from [input], which it does not close. Owned by one thread. */
internal class LineReader(private val input: InputStream) {
    private val decoder = LineDecoder()

    /** Blocks until a whole line has arrived. Returns null at the end of the connection, also in the middle of a line. */
    fun read(): String? {
        while (true) {
            val byte = input.read()
            if (byte < 0) return null
            decoder.add(byte.toByte())?.let { return it }
        }
    }

    /** Whether bytes have arrived that no call has read. */
    fun hasMore(): Boolean = input.available() > 0
}
