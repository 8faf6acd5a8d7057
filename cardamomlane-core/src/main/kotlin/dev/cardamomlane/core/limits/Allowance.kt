package dev.cardamomlane.core.limits

/**
 * A rate and a burst: in any window of `t` seconds at most `ratePerSecond * t + burst` requests run.
 */
public data class Allowance(val ratePerSecond: Double, val burst: Double) {
    init {
        require(ratePerSecond >= 0) { "ratePerSecond must not be negative but was $ratePerSecond" }
        require(burst >= 0) { "burst must not be negative but was $burst" }
    }

    /** The given [part] of this allowance, where 1.0 is all of it. */
    public fun scaled(part: Double): Allowance = Allowance(ratePerSecond * part, burst * part)

    /** The smaller rate with the smaller burst. */
    public fun min(other: Allowance): Allowance =
        Allowance(minOf(ratePerSecond, other.ratePerSecond), minOf(burst, other.burst))

    /** True when this allowance is at least [other] in rate and in burst. */
    public fun covers(other: Allowance): Boolean = ratePerSecond >= other.ratePerSecond && burst >= other.burst

    public companion object {
        /** Admits nothing. */
        public val NONE: Allowance = Allowance(ratePerSecond = 0.0, burst = 0.0)
    }
}
