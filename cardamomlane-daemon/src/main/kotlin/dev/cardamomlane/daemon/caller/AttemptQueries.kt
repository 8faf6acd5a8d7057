package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.core.group.PositionAnswer
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.daemon.target.InternalReplyHandler
import dev.cardamomlane.wire.BackendMessage
import dev.cardamomlane.wire.MalformedMessageException
import dev.cardamomlane.wire.ServerError

/** The queries that the daemon sends before and after a unit on the same connection, and how it reads the answers. */
internal object AttemptQueries {
    const val POSITION = "SELECT * FROM cardamomlane_position()"

    fun confirm(timeoutMillis: Int): String = "SELECT * FROM cardamomlane_confirm($timeoutMillis)"

    fun restore(onError: (ServerError) -> Unit) = InternalReplyHandler(onError = onError)

    fun position(onAnswer: (PositionAnswer) -> Unit): InternalReplyHandler {
        var answer: PositionAnswer? = null
        return InternalReplyHandler(
            onRow = { row -> answer = readPosition(row) },
            onReady = { onAnswer(answer ?: NOTHING_APPLIED) },
        )
    }

    fun confirmation(
        onConfirmed: (LogPosition) -> Unit,
        onReady: () -> Unit,
        onLost: () -> Unit,
    ): InternalReplyHandler = InternalReplyHandler(
        onRow = { row -> if (row.text(2) == "t") onConfirmed(position(row)) },
        onReady = onReady,
        onLost = onLost,
    )

    private fun readPosition(row: BackendMessage.DataRow) = PositionAnswer(
        applied = position(row),
        role = if (row.text(2) == "primary") TargetRole.PRIMARY else TargetRole.REPLICA,
        fenceTerm = term(row, 3),
    )

    private fun position(row: BackendMessage.DataRow) = LogPosition(term(row, 0), number(row, 1))

    private fun term(row: BackendMessage.DataRow, index: Int): Long = number(row, index).also {
        if (it > SequenceNumbers.MAX) throw MalformedMessageException("column $index holds the term $it")
    }

    private fun number(row: BackendMessage.DataRow, index: Int): Long = row.text(index)?.toLongOrNull()
        ?.takeIf { it >= 0 }
        ?: throw MalformedMessageException("column $index of the answer to a control query is no number from 0")

    /**
     * Used in place of the answer of a target that did not return its position. It is never fresh enough, since no term
     * equals its fence term.
     */
    private val NOTHING_APPLIED = PositionAnswer(LogPosition.START, TargetRole.REPLICA, fenceTerm = -1)
}
