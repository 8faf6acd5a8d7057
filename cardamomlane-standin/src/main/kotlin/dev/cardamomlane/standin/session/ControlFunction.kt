package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.PgType
import dev.cardamomlane.standin.target.Confirmation
import dev.cardamomlane.standin.target.Target
import dev.cardamomlane.standin.target.TargetStatus
import dev.cardamomlane.wire.Column
import dev.cardamomlane.wire.ServerError
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor

/**
 * The SQL functions by which hosts control a target: status, position, confirm, activity, fence, promote and follow.
 *
 * @param executor runs the functions that may block: fence, promote and follow
 */
internal class ControlFunction(private val target: Target, private val executor: Executor) {
    /** Runs the call in [sql]. Never blocks the calling thread. Errors complete the future exceptionally. */
    fun call(sql: String): CompletableFuture<StatementResult> {
        val match =
            callPattern.find(sql)
                ?: return failed(ServerError("42601", "syntax error in the call of a control function"))
        val arguments = argumentPattern.findAll(match.groupValues[2]).map {
            it.groupValues[1].ifEmpty { it.groupValues[2] }
        }.toList()
        return try {
            dispatch(match.groupValues[1].lowercase(), arguments)
        } catch (error: IllegalArgumentException) {
            failed(ServerError("22023", error.message ?: "bad argument"))
        }
    }

    private fun dispatch(name: String, arguments: List<String>): CompletableFuture<StatementResult> = when (name) {
        "status" -> done(statusRow(target.status))
        "position" -> done(positionRow(target.status))
        "confirm" -> target.confirm(arguments.number(0)).thenApply { confirmRow(it) }
        "activity" -> done(texts("state" to activity(arguments.number(0))))
        "fence" -> runLater { fenceRow(target.fence(arguments.number(0), arguments.text(1))) }
        "promote" -> runLater { promoteRow(arguments.number(0), arguments.text(1)) }
        "follow" -> runLater { texts("granted" to flag(target.follow(arguments.number(0), arguments.text(1)))) }
        else -> failed(ServerError("42883", "function cardamomlane_$name does not exist"))
    }

    /** Reports a silenced session as unknown, like a session whose connection the server has lost. */
    private fun activity(processId: Long): String {
        val session = target.sessions.find { it.processId.toLong() == processId }
        return when {
            session == null -> "unknown"
            session.isActive -> "active"
            else -> "idle"
        }
    }

    private fun statusRow(status: TargetStatus): StatementResult = texts(statusColumns(status))

    private fun fenceRow(granted: Boolean): StatementResult =
        texts(listOf("granted" to flag(granted)) + statusColumns(target.status))

    private fun promoteRow(term: Long, claimant: String): StatementResult {
        val start = target.promote(term, claimant)
        return texts(
            "granted" to flag(start != null),
            "term" to (start?.term ?: 0).toString(),
            "offset" to (start?.offset ?: 0).toString(),
        )
    }

    private fun positionRow(status: TargetStatus): StatementResult = texts(
        "applied_term" to status.applied.term.toString(),
        "applied_offset" to status.applied.offset.toString(),
        "role" to status.role.label,
        "fence_term" to status.fenceTerm.toString(),
    )

    private fun confirmRow(confirmation: Confirmation): StatementResult = texts(
        "term" to confirmation.position.term.toString(),
        "offset" to confirmation.position.offset.toString(),
        "confirmed" to flag(confirmation.confirmed),
    )

    private fun statusColumns(status: TargetStatus): List<Pair<String, String>> = listOf(
        "role" to status.role.label,
        "fence_term" to status.fenceTerm.toString(),
        "fence_claimant" to status.fenceClaimant,
        "received_term" to status.received.term.toString(),
        "received_offset" to status.received.offset.toString(),
        "applied_term" to status.applied.term.toString(),
        "applied_offset" to status.applied.offset.toString(),
        "following" to status.following,
        "leaving" to flag(status.leaving),
        "incarnation" to status.incarnation.toString(),
    )

    private fun texts(vararg values: Pair<String, String>): StatementResult = texts(values.asList())

    private fun texts(values: List<Pair<String, String>>): StatementResult =
        StatementResult.TextRow(values.map { (name, _) -> Column(name, PgType.TEXT.oid) }, values.map { it.second })

    private fun flag(value: Boolean) = if (value) "t" else "f"

    private fun runLater(action: () -> StatementResult): CompletableFuture<StatementResult> =
        CompletableFuture.supplyAsync(action, executor)

    private fun done(result: StatementResult) = CompletableFuture.completedFuture(result)

    private fun failed(error: ServerError): CompletableFuture<StatementResult> =
        CompletableFuture.failedFuture(SqlFailure(error))

    private fun List<String>.number(index: Int): Long =
        requireNotNull(getOrNull(index)?.toLongOrNull()) { "argument ${index + 1} must be a number" }

    private fun List<String>.text(index: Int): String =
        requireNotNull(getOrNull(index)) { "argument ${index + 1} is missing" }

    private companion object {
        val callPattern = Regex("""cardamomlane_(\w+)\s*\(([^)]*)\)""", RegexOption.IGNORE_CASE)
        val argumentPattern = Regex("""'([^']*)'|(-?\d+)""")
    }
}
