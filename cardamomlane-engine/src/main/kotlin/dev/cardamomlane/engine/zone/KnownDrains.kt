package dev.cardamomlane.engine.zone

import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.log.DecisionLog

/**
 * The newest drains that this host knows, whether it read them from the store or learned them from another host.
 *
 * Not safe for use by several threads.
 *
 * @param zonesOfTargets the zones that have a target, for the log
 * @param onChange called when the set of zones changes, and when it first becomes known
 */
internal class KnownDrains(
    private val isOn: Boolean,
    private val log: DecisionLog,
    private val zonesOfTargets: () -> Set<String>,
    private val onChange: () -> Unit,
) {
    /** The newest drains; [ZoneDrains.UNKNOWN] until some are known, and while the feature is off. */
    var newest: ZoneDrains = ZoneDrains.UNKNOWN
        private set

    /** False on a host that has just started and may not know of a drain; it must send nothing to targets. */
    val isKnown: Boolean get() = !isOn || newest.position > StorePosition.START

    /** The zones whose targets take no new work; none while the feature is off. */
    val zones: Set<String> get() = if (isOn) newest.zones.toSet() else emptySet()

    /** Takes over rows that were read from the store. Rows that change nothing are logged. */
    fun update(rows: ZoneDrains) {
        if (!isOn) return
        if (rows.position >= newest.position && isKnown && rows.zones == newest.zones) {
            log.event("zone", "drains_unchanged", "zones", rows.zones.joinToString(" "), "position", rows.position)
        }
        learn(rows, "store")
    }

    /** Takes over [drains], which the host [from] knows, if they are newer. */
    fun learn(drains: ZoneDrains, from: String) {
        if (!isOn || drains.position <= newest.position) return
        val before = newest
        val wasKnown = isKnown
        newest = bounded(drains)
        if (wasKnown && newest.zones == before.zones) return
        for (zone in newest.zones - before.zones.toSet()) logStart(zone, from)
        for (zone in before.zones - newest.zones.toSet()) {
            log.event("zone", "drain_ended", "zone", zone, "from", from, "position", newest.position)
        }
        onChange()
    }

    private fun logStart(zone: String, from: String) {
        val event = if (zone in zonesOfTargets()) "drain_started" else "drain_without_targets"
        log.event("zone", event, "zone", zone, "from", from, "position", newest.position)
    }

    /** Leaves out names beyond [ZoneDrains.MAX_ZONE_COUNT], first of all those of zones without targets. */
    private fun bounded(drains: ZoneDrains): ZoneDrains {
        if (drains.zones.size <= ZoneDrains.MAX_ZONE_COUNT) return drains
        val used = zonesOfTargets()
        log.event("zone", "drains_cut", "count", drains.zones.size, "kept", ZoneDrains.MAX_ZONE_COUNT)
        val kept = drains.zones.sortedByDescending { it in used }.take(ZoneDrains.MAX_ZONE_COUNT)
        return ZoneDrains.of(drains.position, kept)
    }
}
