package dev.cardamomlane.engine.statement

import dev.cardamomlane.core.LogPosition

/**
 * The whole answer of a target to one statement.
 *
 * @property rows as the target sent them
 * @property digest a text from the target which shows that it ran the statement, when it succeeded
 * @property state the transaction on the connection after the statement
 * @property position the end of the target's log when it answered, if it reported one
 */
public data class TargetAnswer(
    val rows: List<String>,
    val digest: String?,
    val error: StatementError?,
    val state: TransactionState,
    val position: LogPosition?,
) {
    /** True when the statement succeeded. */
    val isSuccess: Boolean get() = error == null
}
