package dev.cardamomlane.daemon.settings

/** The [secret] by which hosts authenticate each other, which is never logged, and the period of heartbeats. */
internal class FleetSettings(val secret: String, val heartbeatMillis: Int)
