package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.Statement

/** One operation of a [ScheduledCaller]: its statements, and what the caller was told of it. */
class ScheduledOperation(val steps: List<Statement>) {
    val isTransaction: Boolean get() = steps.first() is Statement.Begin
    val writes: List<String>
        get() = steps.filterIsInstance<Statement.Run>().filter { it.access == Access.WRITE }.map { it.text }
    var nextStep = 0

    /** What the caller knows of its writes: null while it knows nothing, or how often each of them may be committed. */
    var commitCounts: IntRange? = null
}

/** A statement that a caller sent, and the answer to it. */
class SentStatement(val id: String, val text: String, val sentAtMillis: Long, val operation: ScheduledOperation) {
    var answer: CallerAnswer? = null
    var answeredAtMillis: Long? = null

    /** True once the caller left without waiting for the answer. */
    var isLeft = false
}
