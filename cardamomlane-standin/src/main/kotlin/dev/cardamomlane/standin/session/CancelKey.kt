package dev.cardamomlane.standin.session

/** Identifies a session in a CancelRequest message. */
internal data class CancelKey(val processId: Int, val secretKey: Int)
