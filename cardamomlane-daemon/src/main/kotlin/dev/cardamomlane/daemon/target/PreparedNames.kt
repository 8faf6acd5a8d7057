package dev.cardamomlane.daemon.target

/**
 * The names of the statements that are prepared on one target connection, in order of last use.
 *
 * @param maxNames at how many names [evictIfFull] removes one
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

    /** Removes and returns the least recently used name if [maxNames] are prepared, else returns null. */
    fun evictIfFull(): String? {
        if (names.size < maxNames) return null
        val eldest = names.keys.first()
        names.remove(eldest)
        return eldest
    }
}
