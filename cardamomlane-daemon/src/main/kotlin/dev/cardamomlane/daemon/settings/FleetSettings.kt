package dev.cardamomlane.daemon.settings

/** How the hosts of the fleet talk. The [secret] is never logged. */
internal class FleetSettings(val secret: String, val heartbeatMillis: Int)
