package dev.cardamomlane.standin.lane.line

/**
 * Cuts bytes into lines, each of which ends at the first carriage return that a line feed follows. Either of them alone
 * belongs to the line, as any other byte.
 *
 * Each byte becomes the character of the same number. Not safe for use by several threads.
 *
 * @param maxBytes of a line with its end
 */
internal class LineDecoder(private val maxBytes: Int = MAX_BYTES) {
    private val line = StringBuilder()

    /** Adds [byte]. Returns the line without its end if this ends one, else null. Throws [LineTooLongException]. */
    fun add(byte: Byte): String? {
        line.append((byte.toInt() and BYTE_MASK).toChar())
        if (byte == LINE_FEED && line.length > 1 && line[line.length - 2] == '\r') {
            return line.substring(0, line.length - 2).also { line.clear() }
        }
        if (line.length >= maxBytes) throw LineTooLongException(maxBytes)
        return null
    }

    companion object {
        /** The longest message, with the end of its line. */
        const val MAX_BYTES = 1 shl 20
        private const val LINE_FEED = '\n'.code.toByte()
        private const val BYTE_MASK = 0xff
    }
}
