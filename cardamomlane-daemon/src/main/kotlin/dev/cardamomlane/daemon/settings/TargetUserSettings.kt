package dev.cardamomlane.daemon.settings

/** The daemon's own credential on targets. The [password] is never logged. */
internal class TargetUserSettings(val name: String, val password: String)
