package dev.cardamomlane.standin.session

/** Names a session in a CancelRequest. */
internal data class CancelKey(val processId: Int, val secretKey: Int)
