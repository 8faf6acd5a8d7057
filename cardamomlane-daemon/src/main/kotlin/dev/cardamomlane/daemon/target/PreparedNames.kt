package dev.cardamomlane.daemon.target

/**
 * The names of the statements that are prepared on one target connection, in order of last use.
 *
 * @param maxNames at how many names one is [surplus]
 */
internal class PreparedNames(private val maxNames: Int = 256) {
    private val names = LinkedHashMap<String, Unit>(16, 0.75f, true)

    init {
        require(maxNames > 0) { "maxNames must be positive but was $maxNames" }
    }

    operator fun contains(name: String): Boolean = names[name] != null

    fun add(name: String) {
        names[name] = Unit
    }

    /** Removes [name], which the target has closed. */
    fun remove(name: String) {
        names.remove(name)
    }

    /** Returns the least recently used name that is not [closing], or null if fewer than [maxNames] others are prepared. */
    fun surplus(closing: Set<String>): String? =
        if (names.size - closing.size < maxNames) null else names.keys.first { it !in closing }
}
