package dev.cardamomlane.core.sql

/** What a statement does, as far as its text shows. Decides which targets can run it. */
public enum class StatementKind {
    /** Changes nothing, so that a replica can run it. */
    READ,

    /** May change data, or calls a function that may. */
    WRITE,
    BEGIN,
    COMMIT,

    /** Ends the whole transaction. A rollback to a savepoint is a [SAVEPOINT]. */
    ROLLBACK,
    SAVEPOINT,
    SET,
    SHOW,
    RESET,

    /**
     * Is refused. For example, it would leave state on a connection that other callers use too, or it calls a function
     * that callers must not call.
     */
    UNSUPPORTED,

    /** The text contains no statement. */
    EMPTY,
}
