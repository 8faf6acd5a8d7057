package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.TargetStatus

/**
 * The targets that granted the fence of one term, and the choice of the primary among them.
 *
 * A write is acknowledged only after a majority of the targets received it in its term. Any two majorities share a
 * target, so each fenced majority contains a target that received the write before it was fenced. Hence, in any fenced
 * majority, the target with the highest received position (compared by the term of the record first) contains every
 * acknowledged write.
 *
 * @property avoided targets that are promoted only if the others are no majority
 */
internal class FenceTally(private val monitor: GroupMonitor, private val avoided: Set<TargetId>) {
    private val granted = LinkedHashMap<TargetId, TargetStatus>()
    private var majorityAtMillis: Long? = null

    fun onGranted(target: TargetId, status: TargetStatus, nowMillis: Long) {
        granted[target] = status
        if (granted.size >= monitor.majority && majorityAtMillis == null) majorityAtMillis = nowMillis
    }

    fun isGranted(target: TargetId): Boolean = target in granted

    /**
     * Whether a majority is fenced, and either every reachable target is fenced too or [graceMillis] have passed since
     * the majority was complete.
     */
    fun isComplete(nowMillis: Long, graceMillis: Long): Boolean {
        val sinceMillis = majorityAtMillis ?: return false
        val missing = monitor.targets.any { it.id !in granted && monitor.reachability(it.id).failures == 0 }
        return !missing || nowMillis - sinceMillis >= graceMillis
    }

    /**
     * Returns the target to promote: the one with the highest received position. Targets that are [avoided] or about to
     * leave are candidates only if the others are no majority.
     *
     * @throws IllegalStateException if no majority is fenced
     */
    fun choosePrimary(): TargetId {
        check(granted.size >= monitor.majority) { "only ${granted.keys} of ${monitor.targets.size} targets are fenced" }
        val preferred = granted.filter { (target, status) -> target !in avoided && !status.leaving }
        val candidates = if (preferred.size >= monitor.majority) preferred else granted
        return candidates.entries.maxWith(
            compareBy<Map.Entry<TargetId, TargetStatus>> { it.value.received }
                .thenBy { it.key !in avoided && !it.value.leaving }
                .thenBy { it.key == monitor.primary }
                .thenByDescending { it.key },
        ).key
    }
}
