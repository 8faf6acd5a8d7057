package dev.cardamomlane.daemon.settings

/** Where trace spans go: nowhere, to the log, or to an OTLP endpoint. */
internal enum class TraceMode { OFF, LOG, OTLP }
