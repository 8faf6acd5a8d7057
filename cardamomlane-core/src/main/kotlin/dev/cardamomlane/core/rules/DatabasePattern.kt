package dev.cardamomlane.core.rules

import dev.cardamomlane.core.DatabaseId

/** The name of a database, or a prefix of names that ends with a star. A star alone fits every database. */
@JvmInline
public value class DatabasePattern(public val text: String) {
    init {
        require(isValid(text)) { "database pattern \"$text\" may have a star only at its end" }
    }

    internal val isPrefix: Boolean get() = text.endsWith('*')

    internal val prefix: String get() = text.removeSuffix("*")

    /** True when [database] has this name or starts with this prefix. */
    public fun matches(database: DatabaseId): Boolean =
        if (isPrefix) database.value.startsWith(prefix) else database.value == text

    override fun toString(): String = text

    public companion object {
        /** Fits every database. */
        public val ANY: DatabasePattern = DatabasePattern("*")

        internal fun isValid(text: String) = text.isNotEmpty() && '*' !in text.dropLast(1)
    }
}
