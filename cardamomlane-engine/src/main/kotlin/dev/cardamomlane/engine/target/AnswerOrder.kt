package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState

/**
 * Tells for each answer on one connection whether it is the first one to the oldest statement without one.
 *
 * Answers carry no id. First answers come in the order of the statements, but a target may send an answer again at any
 * later moment, either unchanged or with its state and position of that moment. So an answer that equals no earlier one
 * is a first answer, while one that equals an earlier one may be either; docs/design/second-answers.md has the table.
 *
 * Not safe for use by several threads.
 */
internal class AnswerOrder {
    private val seen = FingerprintSet()
    private var state = TransactionState.IDLE
    private var doubt = Doubt.NONE
    private var hasPlainSuccess = false
    private var answerCount = 0

    /** True once a statement had an error: whether a later equal one is its repetition can't be told. */
    var hasError = false
        private set

    /** True once a transaction was open on the connection. */
    var hasBegun = false
        private set

    /** True while it is not certain that the newest transaction has begun. */
    val isBeginDoubtful: Boolean get() = doubt == Doubt.BEGIN

    /** True when the connection is to be closed as soon as it is free, so that what it remembers stays bounded. */
    val isFull: Boolean get() = answerCount >= MAX_ANSWERS

    /** Finds what [answer] is, given the oldest [statement] without an answer, or null when there is none. */
    fun judge(statement: TargetStatement?, answer: TargetAnswer): AnswerVerdict {
        answerCount++
        val error = answer.error
        val verdict = when {
            error != null -> judgeError(statement, error)
            answer.digest != null -> judgeRun(statement, answer, answer.digest)
            else -> judgePlain(statement, answer)
        }
        if (verdict == AnswerVerdict.FIRST || verdict == AnswerVerdict.DOUBTFUL) state = answer.state
        return verdict
    }

    private fun judgeError(statement: TargetStatement?, error: StatementError): AnswerVerdict {
        val fingerprint = fingerprint(error.text, seed = ERROR_SEED + error.code.ordinal)
        if (statement == null) return repetitionIf(fingerprint in seen)
        if (fingerprint in seen || mayAnswerEarlier(statement, error.code)) return AnswerVerdict.AMBIGUOUS
        seen.add(fingerprint)
        hasError = true
        doubt = Doubt.NONE
        return AnswerVerdict.FIRST
    }

    /** True when an error with [code] may be the own answer to a statement before [statement]. */
    private fun mayAnswerEarlier(statement: TargetStatement, code: ErrorCode): Boolean = when (doubt) {
        Doubt.NONE -> false
        Doubt.SETUP -> statement.isSetup() || code !in REFUSALS_OF_WORK
        Doubt.BEGIN -> true
    }

    private fun judgeRun(statement: TargetStatement?, answer: TargetAnswer, digest: String): AnswerVerdict {
        if (!seen.add(fingerprint(digest, DIGEST_SEED))) return AnswerVerdict.REPETITION
        val isExpected = statement != null && (statement.isCallers() || statement.isFitting(answer))
        if (!isExpected) return AnswerVerdict.UNEXPECTED
        doubt = Doubt.NONE
        return AnswerVerdict.FIRST
    }

    private fun judgePlain(statement: TargetStatement?, answer: TargetAnswer): AnswerVerdict {
        if (answer.rows.isNotEmpty()) return judgeReport(statement, answer)
        val mayBeRepetition = hasPlainSuccess
        hasPlainSuccess = true
        val isOpenAnew = answer.state == TransactionState.OPEN && seen.add(fingerprint(answer.position))
        if (statement == null || !statement.isFitting(answer)) return repetitionIf(mayBeRepetition)
        val isBegin = statement is TargetStatement.Begin
        if (isBegin) hasBegun = true
        val isCertain = if (isBegin) isOpenAnew else !mayBeRepetition
        doubt = when {
            isCertain -> Doubt.NONE
            isBegin || doubt == Doubt.BEGIN -> Doubt.BEGIN
            else -> Doubt.SETUP
        }
        return if (isCertain) AnswerVerdict.FIRST else AnswerVerdict.DOUBTFUL
    }

    /** Judges a success with rows and without a digest. Its rows are what may come again, so the rest is left out. */
    private fun judgeReport(statement: TargetStatement?, answer: TargetAnswer): AnswerVerdict {
        var fingerprint = REPORT_SEED
        for (row in answer.rows) fingerprint = fingerprint(row, fingerprint)
        val isNew = seen.add(fingerprint)
        if (statement == null || !statement.isFitting(answer)) return repetitionIf(!isNew)
        if (!isNew) return AnswerVerdict.AMBIGUOUS
        doubt = Doubt.NONE
        return AnswerVerdict.FIRST
    }

    private fun repetitionIf(isKnown: Boolean) = if (isKnown) AnswerVerdict.REPETITION else AnswerVerdict.UNEXPECTED

    /** True when a success of this statement of the host may look like [answer]. */
    private fun TargetStatement.isFitting(answer: TargetAnswer): Boolean = when (this) {
        is TargetStatement.Begin -> answer.rows.isEmpty() && answer.state == TransactionState.OPEN
        is TargetStatement.Rollback, is TargetStatement.Reset ->
            answer.rows.isEmpty() && answer.state == TransactionState.IDLE
        is TargetStatement.Status, is TargetStatement.Demote -> answer.rows.isNotEmpty()
        else -> !isCallers() && answer.rows.isEmpty() && answer.state == state
    }

    /** True for the statements of callers, whose successes have a digest. */
    private fun TargetStatement.isCallers(): Boolean =
        this is TargetStatement.Run || this is TargetStatement.Execute || this is TargetStatement.Commit

    /** True for the statements of the host for which targets use no slot, and which they have no reason to refuse. */
    private fun TargetStatement.isSetup(): Boolean = when (this) {
        is TargetStatement.Begin, is TargetStatement.Status, is TargetStatement.Demote -> false
        else -> !isCallers()
    }

    private fun fingerprint(position: LogPosition?): Long =
        mix(POSITION_SEED * MULTIPLIER + (position?.term ?: -1)) * MULTIPLIER + (position?.offset ?: -1)

    private fun fingerprint(text: String, seed: Long): Long {
        var hash = seed
        for (char in text) hash = (hash xor char.code.toLong()) * MULTIPLIER
        return mix(hash)
    }

    private fun mix(hash: Long): Long {
        val half = (hash xor (hash ushr HALF_BITS)) * MIX_MULTIPLIER
        return half xor (half ushr HALF_BITS)
    }

    /** Which statement's own answer may still come after one that was taken for it. */
    private enum class Doubt { NONE, SETUP, BEGIN }

    private companion object {
        /** How many answers a connection receives before it is replaced. */
        const val MAX_ANSWERS = 1_000

        /** Errors with which targets refuse work, but no statement that sets the connection up. */
        val REFUSALS_OF_WORK = setOf(ErrorCode.BUSY, ErrorCode.LAGGING, ErrorCode.READ_ONLY)

        /** What the fingerprints of different kinds of answers begin with. */
        const val DIGEST_SEED = 0x1000L
        const val REPORT_SEED = 0x2000L
        const val POSITION_SEED = 0x3000L
        const val ERROR_SEED = 0x4000L

        const val MULTIPLIER = 0x100000001b3L
        const val MIX_MULTIPLIER = -0x61c8864680b583ebL
        const val HALF_BITS = 32
    }
}
