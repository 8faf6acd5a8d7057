package dev.cardamomlane.core.sql

/** What a statement asks of a target, as far as its text tells. */
public enum class StatementKind {
    /** Changes nothing, so that a replica can run it. */
    READ,

    /** May change data, or calls something that may. */
    WRITE,
    BEGIN,
    COMMIT,

    /** Ends the whole transaction. A rollback to a savepoint is a [SAVEPOINT]. */
    ROLLBACK,
    SAVEPOINT,
    SET,
    SHOW,
    RESET,

    /** Leaves state on the connection that another caller would meet, or calls what callers must not call. */
    UNSUPPORTED,

    /** Holds no statement. */
    EMPTY,
}
