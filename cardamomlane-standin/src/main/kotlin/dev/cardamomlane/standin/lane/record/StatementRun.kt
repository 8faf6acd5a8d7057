package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.target.RunContent

/**
 * One run of a statement at a target.
 *
 * @property digest what the target answers with
 * @property atMillis when it ended, by the record's clock
 */
internal data class StatementRun(
    val target: String,
    val digest: String,
    val atMillis: Long,
    val content: RunContent = RunContent(),
)
