package dev.cardamomlane.engine.group

import dev.cardamomlane.core.capacity.ExpectedTime
import dev.cardamomlane.core.capacity.WorkKind
import dev.cardamomlane.engine.target.Target

/**
 * Chooses among targets whose capacity is learned: leaves out those that are out of use, and expects from each one the
 * time that [ExpectedTime] estimates. The times are measured here, so they include the round trip to the target's zone.
 */
internal class ReadChoice(private val kind: WorkKind, targets: List<Target>, private val nowMillis: Long) {
    /** The targets in use. All of them when none is, so that a statement is never left without a target. */
    val usable: List<Target> = targets.filter { it.capacity.isInUse }.ifEmpty { targets }

    /** A target that has not run this kind yet is expected to be as fast as the best one, so that it is tried. */
    private val bestMillis =
        usable.mapNotNull { it.capacity.expectedMillis(kind, nowMillis) }.minOrNull() ?: UNKNOWN_MILLIS

    /** The expected time of the statement at [target], longer when the target fails more than others. */
    fun expectedMillis(target: Target): Double {
        val capacity = target.capacity
        val serviceMillis = capacity.expectedMillis(kind, nowMillis) ?: bestMillis
        val timeMillis = ExpectedTime.millis(capacity.totalRunningCount, capacity.limit, serviceMillis)
        return if (capacity.isOnTrial) timeMillis * TRIAL_FACTOR else timeMillis / maxOf(MIN_HEALTH, capacity.health)
    }

    private companion object {
        /** Prefers a target on trial to an equal one, since otherwise an idle group would never end the trial. */
        const val TRIAL_FACTOR = 0.8

        /** The assumed time of a kind that no target has run. */
        const val UNKNOWN_MILLIS = 10.0

        /** Keeps the expected time of an unhealthy target finite, when it is the only one. */
        const val MIN_HEALTH = 0.1
    }
}
