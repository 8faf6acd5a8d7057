package dev.cardamomlane.daemon

/** What a target does in its database group. */
public enum class TargetRole { PRIMARY, REPLICA }
