package dev.cardamomlane.cli

/** Compares two texts as multisets of lines: the order of the lines and blank lines do not count. */
internal object LineDiff {
    /** Returns the lines that only [old] has, each after `- `, and then the lines that only [new] has, after `+ `. */
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
