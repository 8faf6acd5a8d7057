package dev.cardamomlane.engine

import dev.cardamomlane.engine.session.CallerLink
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.StatementError

/** A caller that records what it receives. */
class FakeCaller : CallerLink {
    val answers = ArrayList<CallerAnswer>()
    var isOpened = false
    var refusal: StatementError? = null
    var isClosed = false

    override fun opened() {
        isOpened = true
    }

    override fun refuse(error: StatementError) {
        refusal = error
    }

    override fun answer(answer: CallerAnswer) {
        answers += answer
    }

    override fun setReading(isReading: Boolean) = Unit

    override fun close() {
        isClosed = true
    }
}
