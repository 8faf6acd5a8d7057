package dev.cardamomlane.bench.report

import kotlinx.serialization.Serializable

/**
 * One measured figure.
 *
 * @property value null when it could not be measured
 * @property baseline the figure of the simple way in the same run, where there is one
 */
@Serializable
internal data class Measure(val name: String, val value: Double?, val unit: String, val baseline: Double? = null)
