package dev.cardamomlane.engine.statement

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.session.LogCommit

/**
 * The answer to one statement of a caller. It is a success when [error] is null.
 *
 * @property id the caller's id of the statement
 * @property rows as the target sent them
 * @property digest a text from the target which shows that it ran the statement, or null when no target ran it
 * @property state the session's transaction after the statement
 * @property position the end of the target's log when it answered, if it reported one
 * @property committed the commit of writes that the answer acknowledges, or null when it acknowledges none
 */
public data class CallerAnswer(
    val id: String,
    val rows: List<String> = emptyList(),
    val digest: String? = null,
    val error: StatementError? = null,
    val state: TransactionState,
    val position: LogPosition? = null,
    val committed: LogCommit? = null,
)
