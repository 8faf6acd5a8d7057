package dev.cardamomlane.standin.lane.line

/** Shows text that may hold any byte on one line. */
internal object Printable {
    private const val RADIX = 16
    private const val DIGITS = 2

    /** Returns [text] with `\xNN` in place of each control character, each backslash and all beyond ASCII. */
    fun of(text: String): String {
        if (text.all(::isPlain)) return text
        return buildString {
            for (char in text) {
                if (isPlain(
                        char,
                    )
                ) {
                    append(char)
                } else {
                    append("\\x").append(char.code.toString(RADIX).padStart(DIGITS, '0'))
                }
            }
        }
    }

    private fun isPlain(char: Char) = char in ' '..'~' && char != '\\'
}
