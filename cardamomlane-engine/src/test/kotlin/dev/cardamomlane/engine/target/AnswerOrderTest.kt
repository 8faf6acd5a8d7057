package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class AnswerOrderTest {
    private val order = AnswerOrder()
    private val read = TargetStatement.Run("id", "READ 1", after = null)
    private val set = TargetStatement.SetValue("a", "1")
    private val begin = TargetStatement.Begin(isReadOnly = true, after = null)

    private fun ran(digest: String) = answer(digest = digest)

    private fun failed(code: ErrorCode) = answer(error = StatementError(code, "text"))

    private fun answer(
        digest: String? = null,
        rows: List<String> = emptyList(),
        error: StatementError? = null,
        state: TransactionState = TransactionState.IDLE,
        position: LogPosition? = LogPosition(1, 1),
    ) = TargetAnswer(rows, digest, error, state, position)

    private fun opened(position: LogPosition) = answer(state = TransactionState.OPEN, position = position)

    /** Guards against the answer to one statement that is taken for another one's. */
    @Test
    fun `a digest answers one statement only`() {
        assertEquals(AnswerVerdict.FIRST, order.judge(read, ran("d1")))
        assertEquals(AnswerVerdict.REPETITION, order.judge(read, ran("d1")))
        assertEquals(AnswerVerdict.REPETITION, order.judge(null, ran("d1").copy(position = null)))
        assertEquals(AnswerVerdict.FIRST, order.judge(read, ran("d2")))
        assertEquals(AnswerVerdict.UNEXPECTED, order.judge(null, ran("d3")))
    }

    /** Guards against a refusal that is told although the statement ran. */
    @Test
    fun `an error that came before answers nothing for certain`() {
        assertEquals(AnswerVerdict.FIRST, order.judge(read, failed(ErrorCode.BUSY)))
        assertEquals(AnswerVerdict.REPETITION, order.judge(null, failed(ErrorCode.BUSY).copy(position = null)))
        assertEquals(AnswerVerdict.FIRST, order.judge(read, failed(ErrorCode.LAGGING)))
        assertEquals(AnswerVerdict.AMBIGUOUS, order.judge(read, failed(ErrorCode.BUSY)))
        assertEquals(AnswerVerdict.UNEXPECTED, order.judge(null, failed(ErrorCode.FAILED)))
        assertTrue(order.hasError)
    }

    /** Guards against an error of a setup statement, whose success was believed, that is told of the one after it. */
    @Test
    fun `an error after a setup statement with a doubtful success is certain only if no setup statement has it`() {
        assertEquals(AnswerVerdict.FIRST, order.judge(set, answer()))
        assertEquals(AnswerVerdict.DOUBTFUL, order.judge(set, answer(position = LogPosition(1, 2))))
        assertEquals(AnswerVerdict.AMBIGUOUS, order.judge(read, failed(ErrorCode.FAILED)))
        assertEquals(AnswerVerdict.AMBIGUOUS, order.judge(set, failed(ErrorCode.BUSY)))
        assertEquals(AnswerVerdict.FIRST, order.judge(read, failed(ErrorCode.BUSY)))
        assertEquals(AnswerVerdict.FIRST, order.judge(read, failed(ErrorCode.FAILED)))
    }

    /** Guards against writes whose outcome is called unknown although the replica that they reached refused them. */
    @Test
    fun `a refusal that no setup statement has is certain after doubtful setup`() {
        for (code in listOf(ErrorCode.LAGGING, ErrorCode.READ_ONLY)) {
            val fresh = AnswerOrder()
            fresh.judge(set, answer())
            assertEquals(AnswerVerdict.DOUBTFUL, fresh.judge(set, answer()))
            assertEquals(AnswerVerdict.FIRST, fresh.judge(read, failed(code)), "$code")
        }
    }

    /** Guards against the refusal of a begin that is told of a later statement, which runs. */
    @Test
    fun `no error is certain after a doubtful begin until a statement has run`() {
        order.judge(begin, opened(LogPosition(1, 1)))
        order.judge(TargetStatement.Rollback, answer())
        assertEquals(AnswerVerdict.DOUBTFUL, order.judge(begin, opened(LogPosition(1, 1))))
        assertTrue(order.isBeginDoubtful)
        assertEquals(AnswerVerdict.DOUBTFUL, order.judge(TargetStatement.Rollback, answer()))
        assertEquals(AnswerVerdict.AMBIGUOUS, order.judge(read, failed(ErrorCode.BUSY)))
        assertEquals(AnswerVerdict.FIRST, order.judge(read, ran("d")))
        assertFalse(order.isBeginDoubtful)
        assertEquals(AnswerVerdict.FIRST, order.judge(read, failed(ErrorCode.BUSY)))
    }

    /** Guards against connections that are opened for transactions whose begin is certain. */
    @Test
    fun `a begin in a state that the connection has not shown is certain`() {
        assertEquals(AnswerVerdict.FIRST, order.judge(begin, opened(LogPosition(1, 1))))
        order.judge(TargetStatement.Rollback, answer())
        assertEquals(AnswerVerdict.REPETITION, order.judge(begin, answer()))
        assertEquals(AnswerVerdict.FIRST, order.judge(begin, opened(LogPosition(1, 2))))
    }

    /** Guards against the success of a host's own statement that ends another one, or a caller's. */
    @Test
    fun `a success that the statement can't have is dropped if there was one like it`() {
        assertEquals(AnswerVerdict.UNEXPECTED, AnswerOrder().judge(read, answer()))
        order.judge(set, answer())
        assertEquals(AnswerVerdict.REPETITION, order.judge(read, answer()))
        assertEquals(AnswerVerdict.REPETITION, order.judge(TargetStatement.Status, answer()))
        assertEquals(AnswerVerdict.REPETITION, order.judge(begin, answer()))
        assertEquals(AnswerVerdict.UNEXPECTED, order.judge(read, answer(rows = listOf("row"))))
    }

    /** Guards against an old position that is taken for the present one. */
    @Test
    fun `a status that was reported before is no answer to a status query`() {
        val status = answer(rows = listOf("primary 1 1"))
        assertEquals(AnswerVerdict.FIRST, order.judge(TargetStatement.Status, status))
        assertEquals(AnswerVerdict.REPETITION, order.judge(read, status.copy(position = LogPosition(2, 2))))
        assertEquals(
            AnswerVerdict.AMBIGUOUS,
            order.judge(TargetStatement.Status, status.copy(position = LogPosition(2, 2))),
        )
    }
}
