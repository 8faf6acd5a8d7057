package dev.cardamomlane.bench.queue

import org.HdrHistogram.Histogram

/** Latencies in microseconds and refusals by customer. */
internal class SimulationResult(private val latencies: Map<String, Histogram>, private val refusals: Map<String, Int>) {
    fun p99Millis(customer: String): Double = latencies.getValue(customer).getValueAtPercentile(99.0) / 1_000.0

    fun meanMillis(customer: String): Double = latencies.getValue(customer).mean / 1_000.0

    fun served(customer: String): Long = latencies.getValue(customer).totalCount

    fun refused(customer: String): Int = refusals[customer] ?: 0
}
