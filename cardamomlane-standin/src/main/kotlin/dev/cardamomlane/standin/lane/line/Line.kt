package dev.cardamomlane.standin.lane.line

/**
 * One message: a word and its fields. A single blank stands before each field, and the last one reaches to the end of the
 * line, so it may be empty and hold any byte, but no carriage return with a line feed behind it.
 */
internal object Line {
    /** Returns the first word of [text]. */
    fun word(text: String): String = text.substringBefore(' ')

    /** Returns the [count] fields behind the word of [text], or null if it has fewer. */
    fun fields(text: String, count: Int): List<String>? {
        require(count > 0) { "count must be positive but was $count" }
        val fields = ArrayList<String>()
        var start = text.indexOf(' ') + 1
        if (start == 0) return null
        repeat(count - 1) {
            val end = text.indexOf(' ', start)
            if (end < 0) return null
            fields += text.substring(start, end)
            start = end + 1
        }
        return fields + text.substring(start)
    }

    /** Returns the line of [word] and [fields] with its end. Throws [IllegalArgumentException] if it would read otherwise. */
    fun of(word: String, vararg fields: String): String {
        require(fields.dropLast(1).none { ' ' in it }) { "only the last field may hold a blank" }
        val line = (listOf(word) + fields).joinToString(" ")
        require(END !in "$line$END".dropLast(END.length)) { "a field holds the end of a line" }
        return "$line$END"
    }

    /** Returns the bytes of [line], whose characters stand for one byte each. */
    fun bytes(line: String): ByteArray = line.toByteArray(Charsets.ISO_8859_1)

    private const val END = "\r\n"
}
