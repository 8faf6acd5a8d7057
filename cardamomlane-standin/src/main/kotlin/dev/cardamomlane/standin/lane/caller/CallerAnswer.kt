package dev.cardamomlane.standin.lane.caller

/**
 * The answer to one statement.
 *
 * @property code of an error, or null for a success
 * @property digest of the target, or `-` when the system answered by itself
 * @property rows the data of the rows
 * @property isInTransaction true when the session's transaction is still open or has failed and must be ended
 * @property isCut true when the connection ended without a whole answer
 */
internal data class CallerAnswer(
    val statementId: String,
    val code: String?,
    val digest: String = "",
    val rows: List<String> = emptyList(),
    val isInTransaction: Boolean = false,
    val isCut: Boolean = false,
) {
    val isDone: Boolean get() = code == null && !isCut

    /** Whether a target ran the statement with success; the system answers some statements by itself. */
    val isRunByTarget: Boolean get() = isDone && digest != "-"

    override fun toString(): String = when {
        isCut -> "cut"
        code != null -> "error $code"
        else -> "done $digest"
    }
}
