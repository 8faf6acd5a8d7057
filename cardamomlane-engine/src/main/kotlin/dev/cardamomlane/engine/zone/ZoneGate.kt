package dev.cardamomlane.engine.zone

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.GroupRecords

/**
 * Whether one target may be sent statements, as far as drains of its zone and its warm-up decide.
 *
 * Statements to a target that warms up are spaced evenly, so that in any second a member sends at most one more than
 * its share. With nine members that stays within the tolerance for members that disagree about their number.
 *
 * Not safe for use by several threads.
 */
internal class ZoneGate(private val timers: TimerService) {
    private var rules = ZoneRules.OFF
    private var reportedUntilMillis = GroupRecords.NEVER
    private var returnedUntilMillis = GroupRecords.NEVER
    private var nextStartMillis = GroupRecords.NEVER

    /** Since when this host has known that the target's zone is being drained, or null while it is not. */
    var drainingSinceMillis: Long? = null
        private set

    val isDraining: Boolean get() = drainingSinceMillis != null

    /** Puts [newer] in force for the target, which is in [zone]. Returns true if that starts or ends a drain. */
    fun apply(newer: ZoneRules, zone: String): Boolean {
        rules = newer
        val isDrainingNow = newer.isOn && zone in newer.drainingZones
        if (isDrainingNow == isDraining) return false
        val nowMillis = timers.nowMillis()
        drainingSinceMillis = if (isDrainingNow) nowMillis else null
        if (!isDrainingNow) returnedUntilMillis = nowMillis + newer.warmUpMillis
        return true
    }

    /** Records that the target has reported to warm up for another [millis]. */
    fun onReport(millis: Long) {
        reportedUntilMillis = if (millis > 0) timers.nowMillis() + millis else GroupRecords.NEVER
    }

    /** True when nothing more may be sent in transactions that are open at the target. */
    fun isPastGrace(nowMillis: Long): Boolean =
        drainingSinceMillis?.let { nowMillis - it >= rules.graceMillis } ?: false

    /** True while the number of statements a second is limited. */
    fun isWarmingUp(nowMillis: Long): Boolean =
        rules.isOn && rules.warmUpPerSecond != null && nowMillis < maxOf(reportedUntilMillis, returnedUntilMillis)

    /** How long the next new statement must wait because of the warm-up; 0 when it may be sent now. */
    fun waitMillis(nowMillis: Long): Long {
        if (!isWarmingUp(nowMillis)) return 0
        if (rules.warmUpPerSecond == 0) return maxOf(reportedUntilMillis, returnedUntilMillis) - nowMillis
        return maxOf(0, nextStartMillis - nowMillis)
    }

    /** Counts a statement. One inside a transaction is never held up, but the next new one waits longer for it. */
    fun started(nowMillis: Long) {
        if (!isWarmingUp(nowMillis)) return
        val perSecond = rules.warmUpPerSecond?.takeIf { it > 0 } ?: return
        nextStartMillis = maxOf(nowMillis, nextStartMillis) + (MILLIS_PER_SECOND + perSecond - 1) / perSecond
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
