package dev.cardamomlane.daemon.caller

/** The two numbers that a caller shows to cancel what its session runs. */
internal data class CancelKey(val processId: Int, val secretKey: Int)
