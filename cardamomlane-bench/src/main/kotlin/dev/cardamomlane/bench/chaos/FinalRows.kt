package dev.cardamomlane.bench.chaos

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.load.CallerConnection
import dev.cardamomlane.bench.load.NotesStatements
import java.sql.SQLException

/** Reads the rows that each database holds after the faults have ended. */
internal class FinalRows(private val endpoints: Endpoints) {
    /** The rows of each database, or why one can't be read within [READ_TIMEOUT_NANOS]. Retries and blocks. */
    fun read(): Either<String, Map<String, List<String>>> =
        either { endpoints.databases.associateWith { readDatabase(it).bind() } }

    private fun readDatabase(database: String): Either<String, List<String>> {
        val endNanos = System.nanoTime() + READ_TIMEOUT_NANOS
        var attempt = 0
        var lastError: SQLException? = null
        while (System.nanoTime() < endNanos) {
            try {
                return readOnce(database, attempt++).right()
            } catch (exception: SQLException) {
                lastError = exception
                Thread.sleep(RETRY_PAUSE_MILLIS)
            }
        }
        return "database $database is not readable after the faults: ${lastError?.message}".left()
    }

    /** Inserts a row first, so that the whole transaction runs on the primary. */
    private fun readOnce(database: String, attempt: Int): List<String> {
        val daemon = endpoints.daemons[attempt % endpoints.daemons.size]
        return CallerConnection.open(daemon, database, endpoints.customers.first()).use { connection ->
            connection.jdbc.autoCommit = false
            NotesStatements.insert(connection.jdbc, statement = "final.${System.nanoTime()}", author = "final")
            val rows = NotesStatements.readAll(connection.jdbc)
            connection.jdbc.commit()
            rows.filter(NotesStatements::isNamedByStatement)
        }
    }

    private companion object {
        const val READ_TIMEOUT_NANOS = 60_000_000_000L
        const val RETRY_PAUSE_MILLIS = 200L
    }
}
