package dev.cardamomlane.engine.statement

/**
 * Why a statement failed.
 *
 * @property isNotRun true when the code promises that nothing of the statement is kept
 */
public enum class ErrorCode(public val isNotRun: Boolean) {
    /** No capacity. */
    BUSY(isNotRun = true),

    /** The transaction is gone; nothing of it is kept. */
    ABORTED(isNotRun = true),

    /** The replica has not applied the position that the statement needs. */
    LAGGING(isNotRun = true),

    /** The target is not the primary. */
    READ_ONLY(isNotRun = true),

    /** The address belongs to another target now. */
    WRONG_TARGET(isNotRun = true),

    /** The target has no connection to spare. */
    TOO_MANY_CONNECTIONS(isNotRun = true),

    /** The prepared statement does not exist on the connection. */
    UNKNOWN_STATEMENT(isNotRun = true),

    /** The statement ran and failed. */
    FAILED(isNotRun = false),

    /** The statement took too long and may have run. */
    TIMEOUT(isNotRun = false),

    /** Nobody knows whether the statement ran. */
    OUTCOME_UNKNOWN(isNotRun = false),

    /** The key is not one of a customer. */
    UNAUTHORIZED(isNotRun = true),

    /** The database does not exist. */
    UNKNOWN_DATABASE(isNotRun = true),

    /** The message exceeds the largest size. */
    TOO_LARGE(isNotRun = true),

    /** The statement can't be read or does not fit the state of the session. */
    MALFORMED(isNotRun = true),
}
