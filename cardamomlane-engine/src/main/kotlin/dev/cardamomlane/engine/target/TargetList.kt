package dev.cardamomlane.engine.target

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.log.DecisionLog
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * The platform's list of targets, corrected by what this host knew before the store was restored.
 *
 * In one epoch of the store the newest list counts. After a restoration the list is as old as the copy until the
 * targets have written their entries again. For [REWRITE_MILLIS] an entry that is older than the known one of its target
 * is not used, a target that the list lacks is kept, and a target that had left is not brought back by its old entry.
 *
 * Not safe for use by several threads.
 *
 * @param onChange called after each change of [entries]
 */
internal class TargetList(
    private val timers: TimerService,
    private val log: DecisionLog,
    private val onChange: () -> Unit,
) {
    private val known = LinkedHashMap<TargetId, KnownTarget>()
    private var listed: List<TargetEntry> = emptyList()
    private var position = StorePosition.START
    private var isRewriting = false

    /** The entries that count. */
    var entries: ImmutableList<TargetEntry> = persistentListOf()
        private set

    /** Takes over the platform's list as of [newPosition], unless a newer one is known. */
    fun update(list: List<TargetEntry>, newPosition: StorePosition) {
        if (newPosition < position) return
        if (newPosition.epoch > position.epoch && position > StorePosition.START) awaitRewriting(newPosition.epoch)
        position = newPosition
        listed = list
        apply()
    }

    private fun awaitRewriting(epoch: Long) {
        isRewriting = true
        timers.after(REWRITE_MILLIS) {
            if (position.epoch == epoch) {
                isRewriting = false
                apply()
            }
        }
    }

    private fun apply() {
        val counting = if (isRewriting) corrected() else listed
        remember(counting)
        entries = counting.toImmutableList()
        onChange()
    }

    private fun corrected(): List<TargetEntry> {
        val ids = listed.mapTo(HashSet()) { it.id }
        val lacking = known.values.filter { it.leftAtMillis == null && it.entry.id !in ids }.map { it.entry }
        val counting = listed.mapNotNull(::corrected) + lacking
        if (counting != listed) {
            log.event("targets", "corrected", "listed", listed.size, "used", counting.size, "lacking", lacking.size)
        }
        return counting
    }

    /** The entry that counts in place of [entry], or null when the target has left. */
    private fun corrected(entry: TargetEntry): TargetEntry? {
        val before = known[entry.id] ?: return entry
        return when {
            before.leftAtMillis != null -> entry.takeIf { it.isNewerThan(before.entry) }
            before.entry.isNewerThan(entry) -> before.entry
            else -> entry
        }
    }

    private fun remember(counting: List<TargetEntry>) {
        val nowMillis = timers.nowMillis()
        val ids = counting.mapTo(HashSet()) { it.id }
        known.values.filter { it.entry.id !in ids && it.leftAtMillis == null }.forEach { it.leftAtMillis = nowMillis }
        for (entry in counting) known[entry.id] = KnownTarget(entry)
        known.values.removeIf { target -> target.leftAtMillis?.let { nowMillis - it > REMEMBER_MILLIS } ?: false }
    }

    /** The newest known [entry] of a target, and when the target left the list, or null while it is listed. */
    private class KnownTarget(val entry: TargetEntry) {
        var leftAtMillis: Long? = null
    }

    private companion object {
        /**
         * How long after a restoration the targets may take to write their entries again. Longer than the platform takes
         * to remove the entry of a silent target.
         */
        const val REWRITE_MILLIS = 5_000L

        /** How long a target that has left is remembered; longer than a copy of the store is old. */
        const val REMEMBER_MILLIS = 120_000L
    }
}
