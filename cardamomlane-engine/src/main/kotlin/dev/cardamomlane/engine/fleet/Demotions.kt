package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.DatabaseGroup

/**
 * The targets of one group that were replaced as primary and may not know it, and are told until they do.
 *
 * Not safe for use by several threads.
 */
internal class Demotions(private val group: DatabaseGroup, private val customerName: () -> String?) {
    private val entries = LinkedHashMap<TargetId, Entry>()

    /** Has [target] told that a primary of [term] replaced it. */
    fun add(target: TargetId, term: Long, nowMillis: Long) {
        entries[target] = Entry(term, nowMillis)
    }

    /** Leaves [target] alone, as when it leads again. */
    fun remove(target: TargetId) {
        entries.remove(target)
    }

    /** Tells the next target that is due. Called at a short interval. */
    fun tick(nowMillis: Long) {
        val customer = customerName() ?: return
        val left = entries.entries.iterator()
        while (left.hasNext()) {
            val (id, entry) = left.next()
            val target = group.targets.firstOrNull { it.entry.id == id }
            val isDue = nowMillis - entry.triedAtMillis > RETRY_MILLIS
            if (target == null || nowMillis - entry.sinceMillis > GIVE_UP_MILLIS) {
                left.remove()
            } else if (target.unreachableSinceMillis == null && isDue) {
                entry.triedAtMillis = nowMillis
                target.demote(customer, entry.term) { isDone -> if (isDone) entries.remove(id) }
                return
            }
        }
    }

    private class Entry(val term: Long, val sinceMillis: Long) {
        var triedAtMillis = GroupRecords.NEVER
    }

    private companion object {
        const val GIVE_UP_MILLIS = 20_000L
        const val RETRY_MILLIS = 400L
    }
}
