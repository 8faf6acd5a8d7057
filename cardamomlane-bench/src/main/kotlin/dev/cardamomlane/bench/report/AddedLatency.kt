package dev.cardamomlane.bench.report

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.fault.SandboxClient
import dev.cardamomlane.bench.load.CallerConnection
import dev.cardamomlane.bench.load.NotesStatements
import org.HdrHistogram.Histogram

/** Measures the latency that a daemon adds. Reads through it alternate with direct reads from the primary. */
internal class AddedLatency(private val endpoints: Endpoints) {
    /** Returns null when no daemon reports a primary or the stand-in does not report its address. Blocks. */
    fun measure(statements: Int): Result? {
        val database = endpoints.databases.first()
        val client = SandboxClient(endpoints)
        val primary = client.primaryOf(database) ?: return null
        val address = client.addressOf(primary) ?: return null
        val target = DaemonEndpoint(primary, address, admin = "", pid = 0)
        val direct = Histogram(3)
        val proxied = Histogram(3)
        CallerConnection.open(target, database, TARGET_USER).use { toTarget ->
            CallerConnection.open(endpoints.daemons.first(), database, endpoints.customers.first()).use { toDaemon ->
                repeat(statements) {
                    timeRead(direct, toTarget)
                    timeRead(proxied, toDaemon)
                    Thread.sleep(PAUSE_MILLIS)
                }
            }
        }
        return Result(direct, proxied)
    }

    private fun timeRead(histogram: Histogram, connection: CallerConnection) {
        val startNanos = System.nanoTime()
        NotesStatements.readOne(connection.jdbc, statement = "latency")
        histogram.recordValue((System.nanoTime() - startNanos) / 1_000)
    }

    /** The percentiles of direct reads, and in [p50Millis] and [p99Millis] what the daemon adds to them. */
    internal class Result(direct: Histogram, proxied: Histogram) {
        val directP50Millis: Double = percentile(direct, 50.0)
        val directP99Millis: Double = percentile(direct, 99.0)
        val p50Millis: Double = percentile(proxied, 50.0) - directP50Millis
        val p99Millis: Double = percentile(proxied, 99.0) - directP99Millis

        private fun percentile(histogram: Histogram, percent: Double): Double =
            histogram.getValueAtPercentile(percent) / 1_000.0
    }

    private companion object {
        val TARGET_USER = CustomerKey(name = "cardamomlane", key = "standin")
        const val PAUSE_MILLIS = 2L
    }
}
