package dev.cardamomlane.core.limits

/**
 * How long a loan of share lasts.
 *
 * The borrower counts [termMillis] from the sending of its ask; the holder counts [holderTermMillis] from its answer,
 * which is later. The margin covers clocks that run at different rates.
 *
 * @property clockRateError the largest deviation of a host's clock rate from true time, as a fraction
 */
public data class LoanTerms(
    val termMillis: Long = 1_000,
    val clockRateError: Double = 0.01,
    val askTimeoutMillis: Long = 40,
) {
    init {
        require(termMillis > 0) { "termMillis must be positive but was $termMillis" }
        require(clockRateError in 0.0..MAX_RATE_ERROR) {
            "clockRateError must be within 0 and 0.2 but was $clockRateError"
        }
    }

    /** The holder's term for a loan with the borrower's term [millis]. */
    public fun holderTermMillis(millis: Long): Long =
        (millis * (1 + clockRateError) / (1 - clockRateError)).toLong() + ROUNDING_MILLIS

    private companion object {
        const val MAX_RATE_ERROR = 0.2
        const val ROUNDING_MILLIS = 2
    }
}
