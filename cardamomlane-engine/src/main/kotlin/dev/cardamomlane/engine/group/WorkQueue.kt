package dev.cardamomlane.engine.group

/**
 * The statements of one group that wait for a target. They are ordered by the priority of their route, then by how many
 * statements of the same customer waited when they were added, then by arrival. So customers take turns, and one with
 * many waiting statements does not delay the others.
 *
 * Not safe for use by several threads.
 */
internal class WorkQueue {
    private val entries = LinkedHashMap<Work, Entry>()
    private var arrivals = 0L

    val size: Int get() = entries.size

    fun isEmpty(): Boolean = entries.isEmpty()

    operator fun contains(work: Work): Boolean = work in entries

    fun add(work: Work) {
        val turn = entries.keys.count { it.customerName == work.customerName }
        entries[work] = Entry(work, turn, arrivals++)
    }

    fun remove(work: Work) {
        entries.remove(work)
    }

    /** Returns a copy of the queue in the order of service. */
    fun inOrder(): List<Work> =
        if (entries.size == 1) entries.keys.toList() else entries.values.sorted().map { it.work }

    /** The number of statements served before [work]; all of them if [work] is not queued. */
    fun countAhead(work: Work): Int {
        val own = entries[work] ?: return entries.size
        return entries.values.count { it < own }
    }

    private class Entry(val work: Work, val turn: Int, val arrival: Long) : Comparable<Entry> {
        override fun compareTo(other: Entry): Int =
            compareValuesBy(this, other, { it.work.route.priority }, { it.turn }, { it.arrival })
    }
}
