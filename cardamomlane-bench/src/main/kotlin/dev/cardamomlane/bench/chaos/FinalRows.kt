package dev.cardamomlane.bench.chaos

import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.load.CallerConnection
import dev.cardamomlane.bench.load.NotesStatements
import java.sql.SQLException

/** Reads what each database holds after the faults have ended. */
internal class FinalRows(private val endpoints: Endpoints) {
    /** Fails when a database can't be read from its primary within the limit. */
    fun read(): Map<String, List<String>> = endpoints.databases.associateWith(::readDatabase)

    private fun readDatabase(database: String): List<String> {
        val endNanos = System.nanoTime() + LIMIT_NANOS
        var attempt = 0
        var last: SQLException? = null
        while (System.nanoTime() < endNanos) {
            try {
                return readOnce(database, attempt++)
            } catch (exception: SQLException) {
                last = exception
                Thread.sleep(PAUSE_MILLIS)
            }
        }
        error("database $database is not readable after the faults: ${last?.message}")
    }

    /** Writes in the transaction first, so that it runs on the primary. */
    private fun readOnce(database: String, attempt: Int): List<String> {
        val daemon = endpoints.daemons[attempt % endpoints.daemons.size]
        return CallerConnection.open(daemon, database, endpoints.customers.first()).use { connection ->
            connection.jdbc.autoCommit = false
            NotesStatements.insert(connection.jdbc, statement = "final.${System.nanoTime()}", author = "final")
            val rows = NotesStatements.readAll(connection.jdbc)
            connection.jdbc.commit()
            rows.filter(NotesStatements::isRecorded)
        }
    }

    private companion object {
        const val LIMIT_NANOS = 60_000_000_000L
        const val PAUSE_MILLIS = 200L
    }
}
