package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.ServerError
import java.sql.SQLException

/** Maps errors of the engine to the errors that PostgreSQL reports. */
internal object ErrorMapping {
    /** The error detail that marks a statement that did not run and had no effect. */
    private const val NOT_RUN = "not run"

    // Error codes of the engine, H2.
    private const val TABLE_EXISTS = 42101
    private const val FUNCTION_NOT_FOUND = 90022
    private const val PARENT_ROW_MISSING = 23506
    private const val CHECK_FAILED = 23513

    private val byEngineState = mapOf(
        "42000" to "42601",
        "42001" to "42601",
        "42S01" to "42P07",
        "42S02" to "42P01",
        "42S22" to "42703",
        "HYT00" to "55P03",
    )

    private val byEngineCode = mapOf(
        TABLE_EXISTS to "42P07",
        FUNCTION_NOT_FOUND to "42883",
        PARENT_ROW_MISSING to "23503",
        CHECK_FAILED to "23514",
    )

    /** Returns the error for an exception that a statement threw. */
    fun of(cause: Throwable): ServerError = when (cause) {
        is SqlFailure -> cause.error
        is SQLException -> ofEngine(cause)
        is IllegalArgumentException -> ServerError("22P02", "invalid input: ${cause.message}")
        else -> ServerError("XX000", "internal error: $cause")
    }

    private fun ofEngine(error: SQLException): ServerError {
        val rootCause = generateSequence<Throwable>(error) { it.cause }.filterIsInstance<SQLException>().last()
        val state =
            byEngineCode[error.errorCode]
                ?: stateOf(if (rootCause.errorCode == 0) rootCause.sqlState else error.sqlState)
        return ServerError(state, error.message.orEmpty().substringBefore("; SQL statement:"))
    }

    private fun stateOf(engineState: String?): String = when {
        engineState == null || engineState.length != 5 -> "XX000"
        engineState in byEngineState -> byEngineState.getValue(engineState)
        engineState.startsWith("HY") || engineState.startsWith("90") -> "XX000"
        else -> engineState
    }

    /** An error for a statement or connection that was refused before it had any effect. */
    fun refused(sqlState: String, message: String): ServerError = ServerError(sqlState, message, detail = NOT_RUN)

    /** The error of a target that accepts no writes. */
    fun readOnly(command: String): ServerError = refused("25006", "cannot execute $command in a read-only transaction")

    fun unsupported(command: String): ServerError = refused("0A000", "$command is not supported")

    /** The error for a statement in a transaction that has already failed. */
    val failedTransaction: ServerError =
        refused("25P02", "current transaction is aborted, commands ignored until end of transaction block")

    /** The error for a commit after the target was fenced. The whole transaction is rolled back. */
    val fenced: ServerError = ServerError("40001", "the target was fenced; the transaction is rolled back")

    val cancelled: ServerError = ServerError("57014", "canceling statement due to user request")

    val timedOut: ServerError = ServerError("57014", "canceling statement due to statement timeout")
}
