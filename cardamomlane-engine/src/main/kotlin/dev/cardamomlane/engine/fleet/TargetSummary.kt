package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/** Formats what a host knows of one target when it decides on a takeover, for its log. */
internal object TargetSummary {
    /** The target's name, then its [status] or `silent`, then what else holds of it, as `name:role:term:received:...`. */
    fun of(target: Target, status: TargetStatus?): String {
        val answer = status?.let { "${if (it.isPrimary) "primary" else "replica"}:${it.term}:${it.received}" }
        val remarks = listOfNotNull(
            "draining".takeIf { target.entry.isDraining },
            "zone_draining".takeIf { target.zoneGate.isDraining },
            "unlisted".takeIf { target.goneAtMillis != null },
            "unreachable".takeIf { target.unreachableSinceMillis != null },
        )
        return (listOf(target.entry.id.value, answer ?: "silent") + remarks).joinToString(":")
    }
}
