package dev.cardamomlane.daemon.settings

/** The user and password by which the daemon logs in to targets. The [password] is never logged. */
internal class TargetUserSettings(val name: String, val password: String)
