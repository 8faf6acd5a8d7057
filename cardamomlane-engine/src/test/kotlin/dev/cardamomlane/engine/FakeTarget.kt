package dev.cardamomlane.engine

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetStatement

/**
 * One target.
 *
 * @property isDown true while the target accepts no connections and can't be promoted
 * @property isSilent true while the target keeps connections open but answers nothing
 * @property answersInMillis how long each statement takes
 * @property durationMillis how long one statement takes, when that differs between statements
 * @property ran the callers' statements, commits and rollbacks that ran, in order
 */
class FakeTarget(val id: String) {
    var isPrimary = false
    var isDown = false
    var isSilent = false
    var position = LogPosition(1, 1)
    var answersInMillis = 5L
    var durationMillis: (TargetStatement) -> Long = { answersInMillis }
    val ran = ArrayList<String>()

    /** The prepared statements that ran, in order. */
    val executed = ArrayList<ExecutedPlan>()

    /** The committed writes, in the order of the log. */
    val log = ArrayList<String>()

    /** The codes with which the next callers' statements are refused, without running them. */
    val refusals = ArrayDeque<ErrorCode>()

    /** Every statement of a caller is refused with this code while it is set. */
    var refusesWith: ErrorCode? = null

    /** Returns the code with which a statement is refused, own ones of the host included, or null to run it. */
    var refuses: (TargetStatement) -> ErrorCode? = { null }

    /** The rows of the answer to a statement other than a status query. */
    var rowsOf: (TargetStatement) -> List<String> = { emptyList() }

    /** How many of the next statements run but have their answer lost. */
    var lostAnswers = 0
}
