package dev.cardamomlane.core.capacity

import dev.cardamomlane.core.queue.AdaptiveLimit

/**
 * A [TargetCapacity] that one member learns alone: an [AdaptiveLimit] over all kinds of work, and one moving average of
 * their times. The target is always in use.
 *
 * @param slots how many statements the target runs at once
 */
public class FixedCapacity(slots: Int) : TargetCapacity {
    private val slotLimit = AdaptiveLimit(slots)
    private var runningCount = 0

    override val limit: Int get() = slotLimit.limit

    override var serviceMillis: Double = INITIAL_SERVICE_MILLIS
        private set

    override val health: Double get() = 1.0

    override val hasRoom: Boolean get() = runningCount < limit

    override val isInUse: Boolean get() = true

    override val totalRunningCount: Double get() = runningCount.toDouble()

    override fun expectedMillis(kind: WorkKind, nowMillis: Long): Double = serviceMillis

    override fun started(kind: WorkKind, nowMillis: Long) {
        runningCount++
    }

    override fun answered(kind: WorkKind, tookMillis: Double, isSuccess: Boolean, nowMillis: Long) {
        runningCount--
        serviceMillis += (tookMillis - serviceMillis) * SERVICE_SMOOTHING
        slotLimit.observe(tookMillis, runningCount + 1)
    }

    override fun refused(kind: WorkKind, nowMillis: Long) {
        runningCount--
    }

    override fun lost(kind: WorkKind, nowMillis: Long) {
        runningCount--
    }

    override fun released(kind: WorkKind, nowMillis: Long) {
        runningCount--
    }

    private companion object {
        /** The assumed mean service time of a target that has not answered yet. */
        const val INITIAL_SERVICE_MILLIS = 25.0

        /** The weight of the newest answer in the mean service time. */
        const val SERVICE_SMOOTHING = 0.1
    }
}
