package dev.cardamomlane.daemon.settings

/** Where spans go. */
internal enum class TraceMode { OFF, LOG, OTLP }
