package dev.cardamomlane.engine.target

/** What work asks of the connection that it gets, so that its answers can be told from second ones. */
internal enum class ConnectionNeed {
    /** Any connection: the work runs again elsewhere if its answer is ambiguous. */
    ANY,

    /** One without an earlier error: an error that equals one would leave the outcome of a write unknown. */
    NO_ERROR,

    /** One without an earlier error or transaction, on which the answer to a begin is certain. */
    NO_TRANSACTION,
}
