package dev.cardamomlane.standin.sql

/** What a target does with a statement. */
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

    /** Whether a failed transaction still takes the statement. */
    val runsInFailedTransaction: Boolean get() = this == COMMIT || this == ROLLBACK || this == ROLLBACK_TO ||
        this == CONTROL

    /** Whether only a primary runs the statement. */
    val writes: Boolean get() = this == WRITE || this == DEFINITION
}
