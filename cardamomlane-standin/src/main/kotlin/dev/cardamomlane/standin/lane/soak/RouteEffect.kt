package dev.cardamomlane.standin.lane.soak

/** At [atMillis] a target had run something that [host] allows only by the configuration [revision] or a newer one. */
internal data class RouteEffect(val host: String, val revision: Long, val atMillis: Long)
