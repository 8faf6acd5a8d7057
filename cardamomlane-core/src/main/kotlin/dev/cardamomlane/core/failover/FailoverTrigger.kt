package dev.cardamomlane.core.failover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.TargetReport

/**
 * Tells whether a group needs a new term, from what this host's polls have shown.
 *
 * Every reason needs a majority of the targets to answer this host, so that its own cut-off never leads to one.
 */
internal class FailoverTrigger(private val monitor: GroupMonitor, private val settings: FailoverSettings) {
    private var tickedAtMillis: Long? = null
    private var resumedAtMillis = Long.MIN_VALUE
    private var strayTerm = 0L
    private var straySinceMillis = 0L
    private var majorityReceived = LogPosition.START
    private var stalledSinceMillis = 0L
    private var bestReceived = LogPosition.START
    private var progressAtMillis = Long.MIN_VALUE / 2
    private var leavingSinceMillis: Long? = null
    private var demotedSinceMillis: Long? = null

    /** Takes in the reports as they are at [nowMillis]. Call it often. */
    fun update(nowMillis: Long) {
        val last = tickedAtMillis
        // Timeouts that fire right after a pause of this process say nothing about the target.
        if (last != null && nowMillis - last > settings.pauseMillis) resumedAtMillis = nowMillis
        tickedAtMillis = nowMillis
        val reports = monitor.reachableReports()
        updateStray(reports, nowMillis)
        updateStall(reports, nowMillis)
        updateLeaving(nowMillis)
        updateDemoted(reports, nowMillis)
    }

    /** The reason for a new term at [nowMillis], or null. */
    fun reason(nowMillis: Long): FailoverReason? = when {
        !monitor.reachesMajority -> null
        isHeadless(nowMillis) -> FailoverReason.HEADLESS
        isPrimarySuspected(nowMillis) -> FailoverReason.PRIMARY_UNREACHABLE
        nowMillis - stalledSinceMillis >= settings.stallMillis -> FailoverReason.REPLICATION_STALLED
        leavingSinceMillis?.let { nowMillis - it >= settings.handoverDrainMillis } == true ->
            FailoverReason.PRIMARY_LEAVING
        strayTerm > monitor.term && nowMillis - straySinceMillis >= settings.strayFenceMillis ->
            FailoverReason.STRAY_FENCE
        else -> null
    }

    /** How this host sees the primary. */
    fun reach(nowMillis: Long): PrimaryReach {
        val primary = monitor.primary ?: return PrimaryReach.UNKNOWN
        val reachability = monitor.reachability(primary)
        return when {
            !monitor.reachesMajority -> PrimaryReach.UNKNOWN
            isPrimarySuspected(nowMillis) -> PrimaryReach.SUSPECTED
            reachability.failures > 0 -> PrimaryReach.FAILING
            reachability.answeredAtMillis == null -> PrimaryReach.UNKNOWN
            else -> PrimaryReach.REACHED
        }
    }

    /** Whether no target has received anything for so long that the primary seems to serve nobody. */
    fun isQuiet(nowMillis: Long): Boolean = nowMillis - progressAtMillis >= settings.loneQuietMillis

    private fun isPrimarySuspected(nowMillis: Long): Boolean {
        val reachability = monitor.primary?.let { monitor.reachability(it) } ?: return false
        val sinceMillis = reachability.unansweredSinceMillis ?: return false
        return nowMillis - maxOf(sinceMillis, resumedAtMillis) >= settings.suspicionMillis &&
            reachability.failures >= settings.suspicionFailures &&
            reachability.newConnectionFailures >= settings.newConnectionFailures
    }

    private fun isHeadless(nowMillis: Long): Boolean {
        val fenced = monitor.reachableReports().count { it.status.fenceTerm > monitor.term }
        val isFenced = fenced >= monitor.majority && nowMillis - straySinceMillis >= settings.headlessMillis
        return isFenced || demotedSinceMillis?.let { nowMillis - it >= settings.headlessMillis } == true
    }

    /** Notices a primary that answers but has lost its role without a later term, as after a rebuild. */
    private fun updateDemoted(reports: List<TargetReport>, nowMillis: Long) {
        val status = reports.find { it.target == monitor.primary }?.status
        val demoted = status != null && !status.isPrimaryInTerm && status.fenceTerm <= monitor.term
        demotedSinceMillis = if (demoted) demotedSinceMillis ?: nowMillis else null
    }

    private fun updateStray(reports: List<TargetReport>, nowMillis: Long) {
        val highest = reports.maxOfOrNull { it.status.fenceTerm } ?: 0
        if (highest <= monitor.term || highest != strayTerm) straySinceMillis = nowMillis
        strayTerm = highest
    }

    private fun updateStall(reports: List<TargetReport>, nowMillis: Long) {
        val received = reports.map { it.status.received }.sortedDescending()
        val best = received.firstOrNull() ?: LogPosition.START
        if (best > bestReceived) progressAtMillis = nowMillis
        bestReceived = maxOf(best, bestReceived)
        val held = received.getOrNull(monitor.majority - 1)
        val written = reports.find { it.target == monitor.primary }?.status?.received
        val stalls = held != null && written != null && held == majorityReceived && written > held
        if (!stalls) stalledSinceMillis = nowMillis
        majorityReceived = held ?: LogPosition.START
    }

    private fun updateLeaving(nowMillis: Long) {
        val primary = monitor.primary
        val leaving = primary?.let { monitor.report(it) }?.status?.leaving == true
        val successor = monitor.reachableReports().any { it.target != primary && !it.status.leaving }
        leavingSinceMillis = if (leaving && successor) leavingSinceMillis ?: nowMillis else null
    }
}
