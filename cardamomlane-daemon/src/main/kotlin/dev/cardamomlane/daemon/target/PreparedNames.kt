package dev.cardamomlane.daemon.target

/** The names of the statements that are prepared on one target connection, of which the least used make room. */
internal class PreparedNames(private val maxNames: Int = 256) {
    private val names = LinkedHashMap<String, Unit>(16, 0.75f, true)

    init {
        require(maxNames > 0) { "maxNames must be positive but was $maxNames" }
    }

    operator fun contains(name: String): Boolean = names[name] != null

    fun add(name: String) {
        names[name] = Unit
    }

    /** Removes and returns the least recently used name when the connection is full. */
    fun evictIfFull(): String? {
        if (names.size < maxNames) return null
        val eldest = names.keys.first()
        names.remove(eldest)
        return eldest
    }
}
