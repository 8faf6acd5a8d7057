package dev.cardamomlane.core.limits

/**
 * The rate and burst of a token bucket: in any window of `t` seconds at most `ratePerSecond * t + burst` requests are
 * admitted.
 */
public data class Allowance(val ratePerSecond: Double, val burst: Double) {
    init {
        require(ratePerSecond >= 0) { "ratePerSecond must not be negative but was $ratePerSecond" }
        require(burst >= 0) { "burst must not be negative but was $burst" }
    }

    /** Rate and burst multiplied by [fraction]; 1.0 gives the whole allowance. */
    public fun scaled(fraction: Double): Allowance = Allowance(ratePerSecond * fraction, burst * fraction)

    /** The smaller of the two rates, combined with the smaller of the two bursts. */
    public fun min(other: Allowance): Allowance =
        Allowance(minOf(ratePerSecond, other.ratePerSecond), minOf(burst, other.burst))

    /** True when neither the rate nor the burst of this allowance is below that of [other]. */
    public fun covers(other: Allowance): Boolean = ratePerSecond >= other.ratePerSecond && burst >= other.burst

    public companion object {
        /** Admits nothing. */
        public val NONE: Allowance = Allowance(ratePerSecond = 0.0, burst = 0.0)
    }
}
