package dev.cardamomlane.bench.report

import kotlinx.serialization.Serializable

/** The result of `lanebench bench`, as it is written in JSON. */
@Serializable
internal data class BenchReport(
    val mode: String,
    val seed: Int,
    val secondsPerPhase: Int,
    val measures: List<Measure>,
    val steady: List<CustomerResult>,
    val noisy: List<CustomerResult>,
) {
    /** The table that is printed. */
    fun table(): String = buildString {
        appendLine("%-30s %14s %14s  %s".format("measure", "value", "baseline", "unit"))
        measures.forEach {
            appendLine(
                "%-30s %14s %14s  %s".format(
                    it.name,
                    shown(it.value, "not measured"),
                    shown(it.baseline, "-"),
                    it.unit,
                ),
            )
        }
        appendCustomers("steady", steady)
        appendCustomers("one customer at ten times its rate", noisy)
    }

    private fun StringBuilder.appendCustomers(title: String, results: List<CustomerResult>) {
        appendLine(title)
        appendLine(
            "  %-20s %8s %8s %8s %8s %9s %9s".format(
                "customer",
                "offered",
                "served",
                "rate",
                "failed",
                "p50 ms",
                "p99 ms",
            ),
        )
        results.forEach {
            val line = "  %-20s %8d %8d %8d %8d %9.2f %9.2f"
            appendLine(
                line.format(
                    it.customer,
                    it.offered,
                    it.served,
                    it.rateRefused,
                    it.otherwiseFailed,
                    it.p50Millis,
                    it.p99Millis,
                ),
            )
        }
    }

    private fun shown(value: Double?, absent: String): String = value?.let { "%.3f".format(it) } ?: absent
}
