package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer

/**
 * The result of a statement or commit, as the session receives it. It is a success when [error] is null.
 *
 * @property digest a text from the target which shows that it ran the statement, when it succeeded
 * @property position the end of the target's log when it answered, if it reported one
 * @property committed the commit of writes that a success acknowledges, or null when it acknowledges none
 */
internal class Outcome(
    val rows: List<String>,
    val digest: String?,
    val error: StatementError?,
    val position: LogPosition?,
    val committed: LogCommit? = null,
) {
    companion object {
        fun of(answer: TargetAnswer): Outcome = Outcome(answer.rows, answer.digest, answer.error, answer.position)

        /** The outcome of a write, or of the commit of writes, that a target of [log] answered with the success [answer]. */
        fun committed(answer: TargetAnswer, log: DatabaseId): Outcome = Outcome(
            answer.rows,
            answer.digest,
            answer.error,
            answer.position,
            LogCommit.of(log, answer.position),
        )

        fun error(code: ErrorCode, text: String): Outcome =
            Outcome(rows = emptyList(), digest = null, error = StatementError(code, text), position = null)
    }
}
