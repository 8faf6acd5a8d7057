package dev.cardamomlane.engine

import dev.cardamomlane.core.capacity.LearnedCapacity
import dev.cardamomlane.engine.fleet.CapacityReport
import dev.cardamomlane.engine.fleet.Peer
import dev.cardamomlane.engine.group.DatabaseGroup

/** Exchanges what members measure at targets. Reports that peers send expire at the receiver. */
internal class CapacityReports(private val groups: () -> Collection<DatabaseGroup>) {
    /** What this host reports: one entry for each target that it has used lately. */
    fun own(): List<CapacityReport> = groups().flatMap { it.targets }.mapNotNull { target ->
        val sample = (target.capacity as? LearnedCapacity)?.sample ?: return@mapNotNull null
        val isUsed = sample.answeredPerSecond > 0 || sample.running > 0
        if (isUsed) CapacityReport.of(target.entry.id.value, sample) else null
    }

    /** Takes over what [peer] reports. */
    fun onReports(peer: Peer, reports: List<CapacityReport>, nowMillis: Long) {
        val reportsByTarget = reports.associateBy { it.target }
        for (target in groups().flatMap { it.targets }) {
            val report = reportsByTarget[target.entry.id.value] ?: continue
            (target.capacity as? LearnedCapacity)
                ?.onPeer(peer.member.name, peer.member.zone, report.sample(), nowMillis)
        }
    }

    /** The learned limit and the health of each target, by the name of the metric. */
    fun gauges(): Map<String, Number> = buildMap {
        for (target in groups().flatMap { it.targets }) {
            val capacity = target.capacity as? LearnedCapacity ?: continue
            put("target_limit{target=\"${target.entry.id.value}\"}", capacity.limit)
            put("target_health{target=\"${target.entry.id.value}\"}", capacity.health)
        }
    }
}
