package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.history.Outcome
import org.postgresql.util.PSQLException
import java.sql.SQLException

/**
 * What the caller of a failed operation can tell from its error.
 *
 * @property connectionLost whether the connection can't be used any more
 * @property detail the error's SQLSTATE, message and detail
 */
internal data class Failure(val outcome: Outcome, val connectionLost: Boolean, val detail: String) {
    companion object {
        /** The detail that daemons give to errors of statements that have not run. */
        const val NOT_RUN_DETAIL = "not run"
        private const val UNKNOWN_DETAIL = "outcome unknown"

        /** Prefixes of the SQLSTATEs of lost connections and of shutdowns. */
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
