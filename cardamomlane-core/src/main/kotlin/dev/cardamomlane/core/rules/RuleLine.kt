package dev.cardamomlane.core.rules

import dev.cardamomlane.core.SourceLocation

/**
 * One line of a rule file, split at blanks.
 *
 * @property words the words before the first `#`
 * @property requester the trimmed text after the first `#`, or null if there is none
 * @property endColumn the column after the last word
 */
internal class RuleLine(val words: List<Word>, val requester: String?, val endColumn: Int) {
    class Word(val text: String, val location: SourceLocation) {
        /** The location of the character at [offset] in [text]. */
        fun locationAt(offset: Int): SourceLocation = location.copy(column = location.column + offset)
    }

    companion object {
        private val WORD = Regex("""\S+""")

        fun read(file: String, number: Int, line: String): RuleLine {
            val comment = line.indexOf('#')
            val body = if (comment < 0) line else line.substring(0, comment)
            val words =
                WORD.findAll(body).map { Word(it.value, SourceLocation(file, number, it.range.first + 1)) }.toList()
            val requester = if (comment < 0) null else line.substring(comment + 1).trim()
            return RuleLine(words, requester, endColumn = body.trimEnd().length + 1)
        }
    }
}
