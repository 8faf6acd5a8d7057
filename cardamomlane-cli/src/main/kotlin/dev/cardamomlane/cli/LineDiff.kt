package dev.cardamomlane.cli

/** The lines that one text has and another has not. The order of lines does not count. */
internal object LineDiff {
    fun between(old: String, new: String): List<String> =
        surplus(old, new).map { "- $it" } + surplus(new, old).map { "+ $it" }

    private fun surplus(text: String, other: String): List<String> {
        val left = other.lines().groupingBy { it }.eachCount().toMutableMap()
        return text.lines().filter { line ->
            val count = left[line] ?: 0
            left[line] = count - 1
            count <= 0 && line.isNotBlank()
        }
    }
}
