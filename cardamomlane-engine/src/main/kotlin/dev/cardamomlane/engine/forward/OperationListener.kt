package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.DatabaseId

/** Receives the answers to the steps of one forwarded operation. */
internal interface OperationListener {
    /** Called before [onAnswer] with the hint that came with the answer, or null when there was none. */
    fun onHint(hint: SendHint?)

    /** The last step got its answer, which acknowledges a commit in the log of [committedTo], if the member says so. */
    fun onAnswer(answer: OperationAnswer, committedTo: DatabaseId?)

    /** The member answers nothing at the moment, not even a ping. The answer may still come. */
    fun onSilent()

    /** The connection ended; no more answers come. [mayHaveArrived] is false when no step reached the member. */
    fun onLost(mayHaveArrived: Boolean)
}
