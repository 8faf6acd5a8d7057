package dev.cardamomlane.bench.history

/**
 * In any window of time, no customer gets more operations than its rate times the window's length plus its burst.
 *
 * An operation counts in a window only if both its start and its end at the caller lie in it, so that a delay at the
 * caller is never reported as a violation.
 */
internal class RateBound(private val limits: Map<String, CustomerRate>) : HistoryCheck {
    override fun violations(history: History): List<Violation> =
        maxExcessWindows(history).filterValues { it.excess > 0 }.map { (customer, window) ->
            val message = "$customer got ${window.admitted} in ${window.lengthMicros} us, ${window.excess} too many"
            Violation("rate-bound", message, emptyList())
        }

    /** The window with the highest excess of each customer that has acknowledged operations. */
    fun maxExcessWindows(history: History): Map<String, RateWindow> = limits
        .mapValues { (customer, rate) ->
            val admitted = history.operations.filter {
                it.customer == customer && it.outcome == Outcome.ACKNOWLEDGED
            }
            maxExcessWindow(admitted, rate)
        }.filterValues { it != null }
        .mapValues { checkNotNull(it.value) }

    private fun maxExcessWindow(admitted: List<Operation>, rate: CustomerRate): RateWindow? {
        val byEnd = admitted.sortedBy { it.endMicros }
        val starts = admitted.map { it.startMicros }.sorted().distinct()
        return starts.mapNotNull { maxExcessWindowFrom(it, byEnd, rate) }.maxByOrNull { it.excess }
    }

    private fun maxExcessWindowFrom(startMicros: Long, byEnd: List<Operation>, rate: CustomerRate): RateWindow? {
        var count = 0
        var maxExcess: RateWindow? = null
        for (operation in byEnd) {
            if (operation.startMicros < startMicros) continue
            count++
            val lengthMicros = operation.endMicros - startMicros
            val excess = count - (rate.burst + rate.ratePerSecond * lengthMicros / 1e6)
            if (maxExcess == null || excess > maxExcess.excess) maxExcess = RateWindow(count, lengthMicros, excess)
        }
        return maxExcess
    }
}
