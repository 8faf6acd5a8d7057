package dev.cardamomlane.core.failover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.TargetReport

/**
 * Decides from this host's polls whether a group needs a new term.
 *
 * Every reason requires that a majority of the targets answers this host, so that a host that is partitioned from the
 * targets never starts a failover.
 */
internal class FailoverTrigger(private val monitor: GroupMonitor, private val settings: FailoverSettings) {
    private var tickedAtMillis: Long? = null
    private var resumedAtMillis = Long.MIN_VALUE
    private var highestFenceTerm = 0L
    private var fencedAheadSinceMillis = 0L
    private var majorityReceived = LogPosition.START
    private var stalledSinceMillis = 0L
    private var bestReceived = LogPosition.START
    private var progressAtMillis = Long.MIN_VALUE / 2
    private var leavingSinceMillis: Long? = null
    private var demotedSinceMillis: Long? = null

    /**
     * Evaluates the monitor's reports at [nowMillis]. Must be called more often than every
     * [FailoverSettings.pauseMillis]: a longer gap counts as a pause of this process.
     */
    fun update(nowMillis: Long) {
        val last = tickedAtMillis
        // Timeouts that fire right after a pause of this process do not show that the target failed.
        if (last != null && nowMillis - last > settings.pauseMillis) resumedAtMillis = nowMillis
        tickedAtMillis = nowMillis
        val reports = monitor.reachableReports()
        updateHighestFenceTerm(reports, nowMillis)
        updateStall(reports, nowMillis)
        updateLeaving(nowMillis)
        updateDemoted(reports, nowMillis)
    }

    /** The reason for a new term at [nowMillis], or null if there is none. */
    fun reason(nowMillis: Long): FailoverReason? = when {
        !monitor.reachesMajority -> null
        isHeadless(nowMillis) -> FailoverReason.HEADLESS
        isPrimarySuspected(nowMillis) -> FailoverReason.PRIMARY_UNREACHABLE
        nowMillis - stalledSinceMillis >= settings.stallMillis -> FailoverReason.REPLICATION_STALLED
        leavingSinceMillis?.let { nowMillis - it >= settings.handoverDrainMillis } == true ->
            FailoverReason.PRIMARY_LEAVING
        highestFenceTerm > monitor.term && nowMillis - fencedAheadSinceMillis >= settings.strayFenceMillis ->
            FailoverReason.STRAY_FENCE
        else -> null
    }

    /** Whether this host reaches the primary at [nowMillis]. */
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

    /** Whether no target has received anything for so long that the primary probably serves no daemon. */
    fun isReplicationIdle(nowMillis: Long): Boolean = nowMillis - progressAtMillis >= settings.replicationIdleMillis

    private fun isPrimarySuspected(nowMillis: Long): Boolean {
        val reachability = monitor.primary?.let { monitor.reachability(it) } ?: return false
        val sinceMillis = reachability.unansweredSinceMillis ?: return false
        return nowMillis - maxOf(sinceMillis, resumedAtMillis) >= settings.suspicionMillis &&
            reachability.failures >= settings.suspicionFailures &&
            reachability.newConnectionFailures >= settings.newConnectionFailures
    }

    private fun isHeadless(nowMillis: Long): Boolean {
        val fenced = monitor.reachableReports().count { it.status.fenceTerm > monitor.term }
        val isFenced = fenced >= monitor.majority && nowMillis - fencedAheadSinceMillis >= settings.headlessMillis
        return isFenced || demotedSinceMillis?.let { nowMillis - it >= settings.headlessMillis } == true
    }

    /** Detects a primary that answers but lost its role without a later term, for example because it was rebuilt. */
    private fun updateDemoted(reports: List<TargetReport>, nowMillis: Long) {
        val status = reports.find { it.target == monitor.primary }?.status
        val demoted = status != null && !status.isPrimaryInTerm && status.fenceTerm <= monitor.term
        demotedSinceMillis = if (demoted) demotedSinceMillis ?: nowMillis else null
    }

    /** Tracks since when the highest fence term of the targets has been above the known term and unchanged. */
    private fun updateHighestFenceTerm(reports: List<TargetReport>, nowMillis: Long) {
        val highest = reports.maxOfOrNull { it.status.fenceTerm } ?: 0
        if (highest <= monitor.term || highest != highestFenceTerm) fencedAheadSinceMillis = nowMillis
        highestFenceTerm = highest
    }

    /** Tracks since when a majority has received nothing more although the primary's log is longer. */
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

    /** Tracks since when the primary has been leaving while another reachable target stays. */
    private fun updateLeaving(nowMillis: Long) {
        val primary = monitor.primary
        val leaving = primary?.let { monitor.report(it) }?.status?.leaving == true
        val successor = monitor.reachableReports().any { it.target != primary && !it.status.leaving }
        leavingSinceMillis = if (leaving && successor) leavingSinceMillis ?: nowMillis else null
    }
}
