package dev.cardamomlane.daemon.caller

/** The two numbers that a caller gets at startup and must present in a request to cancel what its session runs. */
internal data class CancelKey(val processId: Int, val secretKey: Int)
