package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.history.Outcome
import org.postgresql.util.PSQLException
import java.sql.SQLException

/**
 * A failed operation as its caller understands it.
 *
 * @property connectionLost whether the connection cannot be used any more
 */
internal data class Failure(val outcome: Outcome, val connectionLost: Boolean, val detail: String) {
    companion object {
        const val NOT_RUN_DETAIL = "not run"
        private const val UNKNOWN_DETAIL = "outcome unknown"
        private val unknownOutcomeStates = listOf("08", "57P")

        fun of(exception: SQLException): Failure {
            val serverError = (exception as? PSQLException)?.serverErrorMessage
            val state = exception.sqlState.orEmpty()
            val outcome =
                when {
                    serverError?.detail == NOT_RUN_DETAIL -> Outcome.NOT_RUN
                    serverError?.detail == UNKNOWN_DETAIL -> Outcome.UNKNOWN
                    serverError == null || unknownOutcomeStates.any(state::startsWith) -> Outcome.UNKNOWN
                    else -> Outcome.ERROR
                }
            val lost = serverError == null || state.startsWith("57P01")
            return Failure(outcome, lost, "$state ${exception.message?.replace('\n', ' ')}")
        }
    }
}
