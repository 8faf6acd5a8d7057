package dev.cardamomlane.engine.fleet

/** What targets committed and what callers were told of it. The text of each write is unique. */
internal class WriteHistory {
    private val commits = HashMap<String, MutableList<Boolean>>()
    private val acknowledged = HashSet<String>()
    private val refused = HashSet<String>()
    private var textCount = 0

    fun newText(): String = "WRITE ${textCount++} x"

    fun committed(text: String, isAtPrimary: Boolean) {
        commits.getOrPut(text) { ArrayList() } += isAtPrimary
    }

    fun acknowledged(text: String) {
        acknowledged += text
    }

    /** The caller was promised that [text] has no effect. */
    fun refused(text: String) {
        refused += text
    }

    /** A line for each kind of violation. */
    fun findings(): List<String> {
        val late = acknowledged.filter { text -> commits[text]?.none { it } == true }
        return listOfNotNull(
            line("committed more than once", commits.filterValues { it.size > 1 }.keys),
            line("refused as not run, but committed", commits.keys.filter { it in refused }),
            line("acknowledged, but committed by a replaced primary only", late),
            line("acknowledged, but never committed", acknowledged - commits.keys),
        )
    }

    private fun line(violation: String, texts: Collection<String>): String? =
        if (texts.isEmpty()) null else "${texts.size} writes were $violation, one of them ${texts.first()}"
}
