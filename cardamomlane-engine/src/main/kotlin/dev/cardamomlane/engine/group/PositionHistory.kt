package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition

/**
 * The recent log positions of one group's primary, ordered by the time at which they were requested.
 *
 * Not safe for use by several threads.
 */
public class PositionHistory {
    private val samples = ArrayDeque<PositionSample>()

    /** The newest sample, or null when there is none. */
    public val newest: PositionSample? get() = samples.lastOrNull()

    /**
     * Adds a sample, unless it was requested no later than the newest one or has a lower position. Samples in quick
     * succession replace each other.
     */
    public fun add(sample: PositionSample) {
        val last = samples.lastOrNull()
        if (last != null && sample.sentAtMillis <= last.sentAtMillis) return
        if (last != null && sample.position < last.position) return
        val beforeLast = samples.getOrNull(samples.size - 2)
        if (beforeLast != null && sample.sentAtMillis - beforeLast.sentAtMillis < SPACING_MILLIS) samples.removeLast()
        samples.addLast(sample)
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** The lowest known position that includes every write acknowledged before [millis], or null. */
    public fun covering(millis: Long): LogPosition? = samples.firstOrNull { it.sentAtMillis >= millis }?.position

    /** How long ago the primary was first seen beyond [position], in milliseconds, or 0 when it was not. */
    public fun lagMillis(position: LogPosition, nowMillis: Long): Long {
        val past = samples.firstOrNull { it.position > position } ?: return 0
        return maxOf(0, nowMillis - past.sentAtMillis)
    }

    /** Removes every sample, as after a change of the primary. */
    public fun clear() {
        samples.clear()
    }

    private companion object {
        const val SPACING_MILLIS = 40L
        const val MAX_SAMPLES = 128
    }
}
