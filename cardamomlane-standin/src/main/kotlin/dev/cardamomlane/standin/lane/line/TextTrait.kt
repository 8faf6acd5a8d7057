package dev.cardamomlane.standin.lane.line

/** What makes a text odd, in the order in which [of] looks for it. */
internal enum class TextTrait {
    LINE_FEED,

    /** A word of the protocol between blanks. */
    WORDS,
    CARRIAGE_RETURN,
    ZERO,
    HIGH_BYTE,
    EDGE_BLANK,
    BLANK,
    EMPTY,
    ;

    companion object {
        private val WORDS_PATTERN = Regex(" (READ|WRITE|AFTER) ")
        private const val FIRST_HIGH = '\u0080'

        /** Returns the first trait of the field [text], or null if it is plain. */
        fun of(text: String): TextTrait? = when {
            '\n' in text -> LINE_FEED
            WORDS_PATTERN.containsMatchIn(text) -> WORDS
            '\r' in text -> CARRIAGE_RETURN
            '\u0000' in text -> ZERO
            text.any { it >= FIRST_HIGH } -> HIGH_BYTE
            text.isEmpty() -> EMPTY
            text.first() == ' ' || text.last() == ' ' -> EDGE_BLANK
            ' ' in text -> BLANK
            else -> null
        }

        /** Returns the first trait of any of [fields], or null if all are plain. */
        fun ofAny(fields: Collection<String>): TextTrait? = fields.mapNotNull(::of).minOrNull()
    }
}
