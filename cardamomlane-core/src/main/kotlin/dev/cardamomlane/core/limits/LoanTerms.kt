package dev.cardamomlane.core.limits

/**
 * How long a loan of share lasts, and how long a borrower waits for one.
 *
 * The borrower counts [termMillis] from the time it sends its loan request. The holder counts [holderTermMillis] from
 * its answer, which is later. The holder's term is longer by a margin for clocks that run at different rates.
 *
 * @property clockRateError the largest deviation of a host's clock rate from true time, as a fraction
 * @property requestTimeoutMillis how long the borrower waits for the answer to a loan request
 */
public data class LoanTerms(
    val termMillis: Long = 1_000,
    val clockRateError: Double = 0.01,
    val requestTimeoutMillis: Long = 40,
) {
    init {
        require(termMillis > 0) { "termMillis must be positive but was $termMillis" }
        require(clockRateError in 0.0..MAX_RATE_ERROR) {
            "clockRateError must be within 0 and 0.2 but was $clockRateError"
        }
    }

    /** The term that the holder counts for a loan whose borrower counts [millis]. */
    public fun holderTermMillis(millis: Long): Long =
        (millis * (1 + clockRateError) / (1 - clockRateError)).toLong() + ROUNDING_MILLIS

    private companion object {
        const val MAX_RATE_ERROR = 0.2
        const val ROUNDING_MILLIS = 2
    }
}
