package dev.cardamomlane.engine.statement

import kotlinx.serialization.Serializable

/**
 * Why a statement failed.
 *
 * @property isNotRun true when the code guarantees that the statement has no effect
 */
@Serializable
public enum class ErrorCode(public val isNotRun: Boolean) {
    /** The host or target has no capacity for the statement now. */
    BUSY(isNotRun = true),

    /** This host can't serve the statement now, but another host may. */
    UNAVAILABLE(isNotRun = true),

    /** The transaction was rolled back; it has no effect. */
    ABORTED(isNotRun = true),

    /** The target has not applied the log position that the statement requires. */
    LAGGING(isNotRun = true),

    /** The statement needs the primary, and the target is a replica. */
    READ_ONLY(isNotRun = true),

    /** The address belongs to another target now. */
    WRONG_TARGET(isNotRun = true),

    /** The target accepts no more connections. */
    TOO_MANY_CONNECTIONS(isNotRun = true),

    /** The prepared statement does not exist on the connection. */
    UNKNOWN_STATEMENT(isNotRun = true),

    /** The statement ran and failed. */
    FAILED(isNotRun = false),

    /** The statement took too long and may have run. */
    TIMEOUT(isNotRun = false),

    /** The answer was lost or delayed, so that the statement may or may not have run. */
    OUTCOME_UNKNOWN(isNotRun = false),

    /** The key belongs to no customer. */
    UNAUTHORIZED(isNotRun = true),

    /** The database does not exist. */
    UNKNOWN_DATABASE(isNotRun = true),

    /** The message exceeds the maximum size. */
    TOO_LARGE(isNotRun = true),

    /** The statement can't be read or does not fit the state of the session. */
    MALFORMED(isNotRun = true),
}
