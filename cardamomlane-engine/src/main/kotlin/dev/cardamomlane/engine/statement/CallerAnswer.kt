package dev.cardamomlane.engine.statement

import dev.cardamomlane.core.LogPosition

/** The answer to one statement of a caller. Without [error] it is a success. */
public data class CallerAnswer(
    val id: String,
    val rows: List<String> = emptyList(),
    val digest: String? = null,
    val error: StatementError? = null,
    val state: TransactionState,
    val position: LogPosition? = null,
)
