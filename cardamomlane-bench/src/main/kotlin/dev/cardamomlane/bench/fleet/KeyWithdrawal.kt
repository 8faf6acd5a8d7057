package dev.cardamomlane.bench.fleet

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.load.CallerConnection
import dev.cardamomlane.bench.load.NotesStatements
import java.sql.SQLException
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Measures for how long open connections of a customer are still served after its keys were withdrawn. */
internal class KeyWithdrawal(private val endpoints: Endpoints, private val customer: CustomerKey) {
    /**
     * Opens a connection to each daemon, calls [withdraw], and returns for each daemon the milliseconds from the
     * return of that call to the last statement that was served, or null when statements were still served after
     * [limitMillis].
     */
    fun measure(limitMillis: Long, withdraw: () -> Unit): Map<String, Long?> {
        val executor = Executors.newFixedThreadPool(endpoints.daemons.size)
        val connections = endpoints.daemons.associateWith {
            CallerConnection.open(it, endpoints.databases.first(), customer)
        }
        withdraw()
        val startNanos = System.nanoTime()
        val results = connections.mapValues { (_, connection) ->
            executor.submit(Callable { lastServedMillis(connection, startNanos, limitMillis) })
        }
        val measured = results.entries.associate { (daemon: DaemonEndpoint, result) -> daemon.name to result.get() }
        executor.shutdown()
        connections.values.forEach { it.close() }
        return measured
    }

    private fun lastServedMillis(connection: CallerConnection, startNanos: Long, limitMillis: Long): Long? {
        var lastMillis = 0L
        while (true) {
            val nowMillis = (System.nanoTime() - startNanos) / 1_000_000
            if (nowMillis > limitMillis) return null
            try {
                NotesStatements.readOne(connection.jdbc, statement = "withdrawal")
                lastMillis = nowMillis
            } catch (exception: SQLException) {
                if (exception.sqlState == INVALID_KEY_STATE) return lastMillis
                if (connection.jdbc.isClosed) return lastMillis
            }
            Thread.sleep(PAUSE_MILLIS)
        }
    }

    private companion object {
        const val INVALID_KEY_STATE = "28P01"
        const val PAUSE_MILLIS = 10L
    }
}
