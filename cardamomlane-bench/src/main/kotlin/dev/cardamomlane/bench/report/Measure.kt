package dev.cardamomlane.bench.report

import kotlinx.serialization.Serializable

/**
 * A measured value with its unit.
 *
 * @property value null when it could not be measured
 * @property baseline the value of direct connections to the primary, or null where it is not known
 */
@Serializable
internal data class Measure(val name: String, val value: Double?, val unit: String, val baseline: Double? = null)
