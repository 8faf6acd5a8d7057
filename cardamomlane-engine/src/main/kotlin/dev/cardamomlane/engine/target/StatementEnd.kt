package dev.cardamomlane.engine.target

/** How a statement that was started at a target ended. */
internal sealed interface StatementEnd {
    /** The target ran it and answered after [tookMillis]. */
    data class Answered(val tookMillis: Double, val isSuccess: Boolean) : StatementEnd

    /** The target was too busy to run it. */
    data object Refused : StatementEnd

    /** No answer arrived, or none in time. */
    data object Lost : StatementEnd

    /** It ended in a way that says nothing about the target. */
    data object Unmeasured : StatementEnd
}
