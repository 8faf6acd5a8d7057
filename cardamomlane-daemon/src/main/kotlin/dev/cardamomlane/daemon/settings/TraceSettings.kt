package dev.cardamomlane.daemon.settings

import java.net.URI

/** Where trace spans go. [endpoint] is set if and only if [mode] is [TraceMode.OTLP]. */
internal data class TraceSettings(val mode: TraceMode, val endpoint: URI?)
