package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId

/**
 * One statement, or one transaction, that needs a slot of a target.
 *
 * @property id unique among the tickets that wait or run in one queue
 * @property weight the customer's weight against the other customers of the same class
 * @property priorityClass 1 (most urgent) to 9
 * @property deadlineMillis the monotonic time by which it must have started
 */
public data class QueueTicket(
    val id: Long,
    val customer: CustomerId,
    val weight: Int,
    val priorityClass: Int,
    val deadlineMillis: Long,
) {
    init {
        require(weight >= 1) { "weight must be at least 1 but was $weight" }
        require(priorityClass in CLASSES) { "priorityClass must be in $CLASSES but was $priorityClass" }
    }

    public companion object {
        /** The priority classes, the most urgent first. */
        public val CLASSES: IntRange = 1..9
    }
}
