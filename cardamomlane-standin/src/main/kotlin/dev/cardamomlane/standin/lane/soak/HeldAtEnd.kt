package dev.cardamomlane.standin.lane.soak

/**
 * What hosts say that operations hold, once no caller is connected any more. Whatever is never given back shows, however
 * few operations it keeps from being served.
 *
 * @param metrics returns the metrics of each host as text, or null if it gives none, by its name
 */
internal class HeldAtEnd(private val metrics: () -> Map<String, String?>) {
    /**
     * Returns what was held each time that it was looked at, [times] times with [pause] in between. What is held for a
     * moment only, such as the connection of a status query, is left out.
     */
    fun kept(times: Int, pause: () -> Unit): List<String> {
        var kept = held()
        repeat(times - 1) {
            if (kept.isEmpty()) return emptyList()
            pause()
            kept = kept intersect held()
        }
        return kept.sorted()
    }

    private fun held(): Set<String> = metrics().flatMap { (host, text) -> heldAt(host, text) }.toSet()

    private fun heldAt(host: String, text: String?): List<String> {
        if (text == null) return listOf("$host gives no metrics")
        val counts = HELD.findAll(text).associate { it.groupValues[1] to it.groupValues[2].toDouble() }
        if (counts.isEmpty()) return listOf("$host does not say what it holds")
        return counts.filterValues { it > 0 }.keys.map { "$host holds a $it" }
    }

    private companion object {
        val HELD = Regex("""^cardamomlane_held\{kind="(\w+)"} (\S+)$""", RegexOption.MULTILINE)
    }
}
