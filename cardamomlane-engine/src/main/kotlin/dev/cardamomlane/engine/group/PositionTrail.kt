package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition

/**
 * The recent positions of one group's primary, by the time at which they were asked for.
 *
 * Not safe for use by several threads.
 */
public class PositionTrail {
    private val samples = ArrayDeque<PositionSample>()

    /** The newest sample, or null when there is none. */
    public val newest: PositionSample? get() = samples.lastOrNull()

    /** Adds a sample; one that tells nothing new is ignored. */
    public fun add(sample: PositionSample) {
        val last = samples.lastOrNull()
        if (last != null && sample.askedAtMillis <= last.askedAtMillis) return
        if (last != null && sample.position < last.position) return
        val beforeLast = samples.getOrNull(samples.size - 2)
        if (beforeLast != null && sample.askedAtMillis - beforeLast.askedAtMillis < SPACING_MILLIS) samples.removeLast()
        samples.addLast(sample)
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** The lowest known position that covers every write acknowledged before [millis], or null when none is known. */
    public fun covering(millis: Long): LogPosition? = samples.firstOrNull { it.askedAtMillis >= millis }?.position

    /** For how long the primary has been known to be past [position], or 0 when it is not. */
    public fun lagMillis(position: LogPosition, nowMillis: Long): Long {
        val past = samples.firstOrNull { it.position > position } ?: return 0
        return maxOf(0, nowMillis - past.askedAtMillis)
    }

    /** Forgets every sample, as after a change of the primary. */
    public fun clear() {
        samples.clear()
    }

    private companion object {
        const val SPACING_MILLIS = 40L
        const val MAX_SAMPLES = 128
    }
}
