package dev.cardamomlane.standin.sql

/**
 * How a target handles a statement.
 *
 * @property takesSlot whether the statement runs in a slot of the target
 */
internal enum class StatementKind(val takesSlot: Boolean) {
    EMPTY(takesSlot = false),
    BEGIN(takesSlot = false),
    COMMIT(takesSlot = false),
    ROLLBACK(takesSlot = false),
    SAVEPOINT(takesSlot = false),
    ROLLBACK_TO(takesSlot = false),
    RELEASE(takesSlot = false),
    SET(takesSlot = false),
    RESET(takesSlot = false),
    SHOW(takesSlot = false),
    CONTROL(takesSlot = false),
    READ(takesSlot = true),
    WRITE(takesSlot = true),
    DEFINITION(takesSlot = true),
    UNSUPPORTED(takesSlot = false),
    ;

    /** Whether the statement may run in a failed transaction. */
    val runsInFailedTransaction: Boolean get() = this == COMMIT || this == ROLLBACK || this == ROLLBACK_TO ||
        this == CONTROL

    /** Whether only a primary may run the statement. */
    val writes: Boolean get() = this == WRITE || this == DEFINITION
}
