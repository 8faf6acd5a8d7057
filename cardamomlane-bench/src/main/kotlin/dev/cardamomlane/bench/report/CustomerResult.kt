package dev.cardamomlane.bench.report

import dev.cardamomlane.bench.history.Outcome
import dev.cardamomlane.bench.load.Sample
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** The result of one customer in a loop. Latencies are of acknowledged statements, from their intended start. */
@Serializable
internal data class CustomerResult(
    val customer: String,
    val offered: Int,
    val served: Int,
    val rateRefused: Int,
    val otherwiseFailed: Int,
    val p50Millis: Double,
    val p99Millis: Double,
) {
    /** The fraction of the offered statements that were acknowledged. */
    val servedFraction: Double
        get() = if (offered == 0) 1.0 else served.toDouble() / offered

    companion object {
        /** One result for each customer, in order of name. */
        fun of(samples: List<Sample>): List<CustomerResult> = samples.groupBy {
            it.arrival.customer.name
        }.toSortedMap().map { (customer, customerSamples) -> ofCustomer(customer, customerSamples) }

        private fun ofCustomer(customer: String, samples: List<Sample>): CustomerResult {
            val served = samples.filter { it.outcome == Outcome.ACKNOWLEDGED }
            val histogram = Histogram(3)
            served.forEach { histogram.recordValue(maxOf(0, it.latencyMicros)) }
            val rateRefused = samples.count { it.isRateRefusal }
            return CustomerResult(
                customer = customer,
                offered = samples.size,
                served = served.size,
                rateRefused = rateRefused,
                otherwiseFailed = samples.size - served.size - rateRefused,
                p50Millis = histogram.getValueAtPercentile(50.0) / 1_000.0,
                p99Millis = histogram.getValueAtPercentile(99.0) / 1_000.0,
            )
        }
    }
}
