package dev.cardamomlane.cli

/** The lines that one text has and another has not. The order of lines does not count. */
internal object LineDiff {
    fun between(old: String, new: String): List<String> =
        linesOnlyIn(old, new).map { "- $it" } + linesOnlyIn(new, old).map { "+ $it" }

    private fun linesOnlyIn(text: String, other: String): List<String> {
        val unmatched = other.lines().groupingBy { it }.eachCount().toMutableMap()
        return text.lines().filter { line ->
            val count = unmatched[line] ?: 0
            unmatched[line] = count - 1
            count <= 0 && line.isNotBlank()
        }
    }
}
