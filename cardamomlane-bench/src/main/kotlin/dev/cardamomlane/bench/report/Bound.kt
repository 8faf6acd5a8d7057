package dev.cardamomlane.bench.report

import kotlinx.serialization.Serializable

/**
 * A regression bound, as a ratio to a stated target.
 *
 * @property target the stated target, in the unit of the measure
 * @property atMostRatio the highest allowed ratio of the measured value to the target, or null for none
 * @property atLeastRatio the lowest allowed ratio of the measured value to the target, or null for none
 * @property source where the target is stated
 */
@Serializable
internal data class Bound(
    val measure: String,
    val target: Double,
    val source: String,
    val atMostRatio: Double? = null,
    val atLeastRatio: Double? = null,
) {
    /** Returns how [value] misses the bound, or null when it holds. A null value misses it. */
    fun missOf(value: Double?): String? {
        if (value == null) return "$measure was not measured"
        val ratio = value / target
        return when {
            atMostRatio != null && ratio > atMostRatio -> "$measure is %.3f of its target, at most %.3f".format(
                ratio,
                atMostRatio,
            )
            atLeastRatio != null && ratio < atLeastRatio ->
                "$measure is %.3f of its target, at least %.3f".format(ratio, atLeastRatio)
            else -> null
        }
    }
}
