package dev.cardamomlane.daemon.target

/** What a target says of one of its connections. */
internal enum class ConnectionState {
    /** The target works on a statement of the connection. */
    ACTIVE,

    /** The target waits for a statement or does not know the connection, so an answer was lost on the way. */
    IDLE,

    /** The target could not be asked. */
    UNREACHABLE,
}
