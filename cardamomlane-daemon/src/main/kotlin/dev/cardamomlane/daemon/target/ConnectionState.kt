package dev.cardamomlane.daemon.target

/** The state of a connection to a target, as [TargetProbe.check] found it. */
internal enum class ConnectionState {
    /** The target is running a statement on the connection, or answered the query with an error. */
    ACTIVE,

    /**
     * The target waits for a statement on the connection or does not know the connection. A reply that is still
     * expected on it was therefore lost on the way.
     */
    IDLE,

    /** The target did not answer in time, or no connection to it could be opened. */
    UNREACHABLE,
}
