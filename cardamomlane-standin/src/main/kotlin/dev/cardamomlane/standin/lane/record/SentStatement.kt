package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.line.Line
import dev.cardamomlane.standin.lane.line.TextTrait
import dev.cardamomlane.standin.lane.target.PreparedPlan

/**
 * A statement of an operation that a caller sent, and its answer.
 *
 * @property text of the statement
 * @property operation names the attempt of an operation that it belongs to
 * @property isInTransaction whether the caller had begun a transaction
 * @property plan what the caller had prepared under the name that it executes, or null
 * @property values of the session that had been acknowledged to the caller
 * @property answer null until it has come
 */
internal data class SentStatement(
    val statementId: String,
    val text: String,
    val operation: String,
    val isInTransaction: Boolean = false,
    val plan: PreparedPlan? = null,
    val values: Map<String, String> = emptyMap(),
    val answer: CallerAnswer? = null,
) {
    /** What is odd about the id, the fields or the plan, or null if they are plain. */
    val trait: TextTrait? get() = TextTrait.ofAny(fields() + statementId + listOfNotNull(plan?.shape))

    private fun fields(): List<String> {
        val count = when {
            plan?.isWrite == true -> 3
            plan != null || Line.word(text) == "WRITE" -> 2
            else -> 1
        }
        return Line.fields(text, count).orEmpty()
    }
}
