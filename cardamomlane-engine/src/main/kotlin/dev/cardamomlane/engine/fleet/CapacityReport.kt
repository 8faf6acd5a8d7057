package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.capacity.CapacitySample
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlin.math.roundToInt

/**
 * What a member has measured at one target in its last window; see [CapacitySample] for the values.
 *
 * Whole numbers keep a report under 30 bytes.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class CapacityReport(
    val target: String,
    val runningTenths: Int,
    val answeredPerSecond: Int,
    val failedPerSecond: Int,
    val tookMillisPerSecond: Int,
    val workMillisPerSecond: Int,
    val limitTenths: Int,
) {
    /** The values of the report. */
    public fun sample(): CapacitySample = CapacitySample(
        running = runningTenths / TENTHS,
        answeredPerSecond = answeredPerSecond.toDouble(),
        failedPerSecond = failedPerSecond.toDouble(),
        tookMillisPerSecond = tookMillisPerSecond.toDouble(),
        workMillisPerSecond = workMillisPerSecond.toDouble(),
        limit = limitTenths / TENTHS,
    )

    public companion object {
        private const val TENTHS = 10.0

        /** The report of [sample] for [target]. */
        internal fun of(target: String, sample: CapacitySample) = CapacityReport(
            target = target,
            runningTenths = (sample.running * TENTHS).roundToInt(),
            answeredPerSecond = sample.answeredPerSecond.roundToInt(),
            failedPerSecond = sample.failedPerSecond.roundToInt(),
            tookMillisPerSecond = sample.tookMillisPerSecond.roundToInt(),
            workMillisPerSecond = sample.workMillisPerSecond.roundToInt(),
            limitTenths = (sample.limit * TENTHS).roundToInt(),
        )
    }
}
