package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.group.DatabaseGroup

/**
 * The targets of one group that were replaced as primary and may not know it yet. Each is sent demotions until it
 * accepts one.
 *
 * Not safe for use by several threads.
 */
internal class Demotions(private val group: DatabaseGroup, private val customerName: () -> String?) {
    private val entries = LinkedHashMap<TargetId, Entry>()

    /** Adds [target], which a primary of [term] replaced. */
    fun add(target: TargetId, term: Long, nowMillis: Long) {
        entries[target] = Entry(term, nowMillis)
    }

    /** Stops demoting [target], for example because it is primary again. */
    fun remove(target: TargetId) {
        entries.remove(target)
    }

    /** Sends at most one demotion, to the first target that is due. Called at a short interval. */
    fun retryDue(nowMillis: Long) {
        val customer = customerName() ?: return
        val left = entries.entries.iterator()
        while (left.hasNext()) {
            val (id, entry) = left.next()
            val target = group.targets.firstOrNull { it.entry.id == id }
            val isDue = nowMillis - entry.sentAtMillis > RETRY_MILLIS
            if (target == null || nowMillis - entry.sinceMillis > GIVE_UP_MILLIS) {
                left.remove()
            } else if (target.unreachableSinceMillis == null && isDue) {
                entry.sentAtMillis = nowMillis
                target.demote(customer, entry.term) { isDone -> if (isDone) entries.remove(id) }
                return
            }
        }
    }

    private class Entry(val term: Long, val sinceMillis: Long) {
        var sentAtMillis = GroupRecords.NEVER
    }

    private companion object {
        /** How long after its replacement a target is still sent demotions. */
        const val GIVE_UP_MILLIS = 20_000L

        /** The least time between two demotions of one target. */
        const val RETRY_MILLIS = 400L
    }
}
