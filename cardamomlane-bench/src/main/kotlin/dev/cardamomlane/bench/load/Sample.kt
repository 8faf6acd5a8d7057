package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.history.Outcome

/**
 * What became of one arrival.
 *
 * @property latencyMicros from the intended start to the end of the answer
 * @property startMicros when it was sent, from the start of the loop
 */
internal data class Sample(
    val arrival: Arrival,
    val outcome: Outcome,
    val startMicros: Long,
    val endMicros: Long,
    val detail: String? = null,
) {
    val latencyMicros: Long
        get() = endMicros - arrival.atMicros

    /** Whether the fleet refused it for the customer's rate. */
    val isRateRefusal: Boolean
        get() = detail?.startsWith(RATE_STATE) == true

    private companion object {
        const val RATE_STATE = "53400"
    }
}
