package dev.cardamomlane.core.rules

import dev.cardamomlane.core.DatabaseId

/**
 * Matches one database by its name, or every database whose name starts with a prefix.
 *
 * @property text a name, or a prefix followed by a star; a star alone matches every database
 */
@JvmInline
public value class DatabasePattern(public val text: String) {
    init {
        require(isValid(text)) { "database pattern \"$text\" may have a star only at its end" }
    }

    internal val isPrefix: Boolean get() = text.endsWith('*')

    internal val prefix: String get() = text.removeSuffix("*")

    /** Returns true if the name of [database] equals this name or starts with this prefix. */
    public fun matches(database: DatabaseId): Boolean =
        if (isPrefix) database.value.startsWith(prefix) else database.value == text

    override fun toString(): String = text

    public companion object {
        /** Matches every database. */
        public val ANY: DatabasePattern = DatabasePattern("*")

        internal fun isValid(text: String) = text.isNotEmpty() && '*' !in text.dropLast(1)
    }
}
