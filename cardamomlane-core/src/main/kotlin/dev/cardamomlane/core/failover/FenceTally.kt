package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.TargetStatus

/**
 * The targets that granted the fence of one term, and the choice of the primary among them.
 *
 * A write was acknowledged only when a majority had received it in its term. Each majority of fenced targets shares a
 * target with that majority, which had received the write before its fence. So the target with the highest received
 * position (term of the record first) of any fenced majority holds every acknowledged write.
 */
internal class FenceTally(private val monitor: GroupMonitor, private val avoided: Set<TargetId>) {
    private val granted = LinkedHashMap<TargetId, TargetStatus>()
    private var majorityAtMillis: Long? = null

    fun onGranted(target: TargetId, status: TargetStatus, nowMillis: Long) {
        granted[target] = status
        if (granted.size >= monitor.majority && majorityAtMillis == null) majorityAtMillis = nowMillis
    }

    fun isGranted(target: TargetId): Boolean = target in granted

    /** Whether a majority is fenced and nothing is gained by waiting for more. */
    fun isComplete(nowMillis: Long, graceMillis: Long): Boolean {
        val sinceMillis = majorityAtMillis ?: return false
        val missing = monitor.targets.any { it.id !in granted && monitor.reachability(it.id).failures == 0 }
        return !missing || nowMillis - sinceMillis >= graceMillis
    }

    /** The target to promote. Leaves avoided targets out if the others make a majority of their own. */
    fun best(): TargetId {
        check(granted.size >= monitor.majority) { "only ${granted.keys} of ${monitor.targets.size} targets are fenced" }
        val wanted = granted.filter { (target, status) -> target !in avoided && !status.leaving }
        val candidates = if (wanted.size >= monitor.majority) wanted else granted
        return candidates.entries.maxWith(
            compareBy<Map.Entry<TargetId, TargetStatus>> { it.value.received }
                .thenBy { it.key !in avoided && !it.value.leaving }
                .thenBy { it.key == monitor.primary }
                .thenByDescending { it.key },
        ).key
    }
}
