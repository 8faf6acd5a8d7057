package dev.cardamomlane.core.queue

/** Why a [SlotQueue] does not accept a ticket. */
public enum class QueueRefusal {
    /** The expected wait ends after the ticket's deadline. */
    DEADLINE,

    /** The customer already has as many waiting tickets as one customer may have. */
    CUSTOMER_FULL,

    /**
     * The queue is full and contains no ticket that is less urgent or whose customer has more waiting tickets for its
     * weight.
     */
    QUEUE_FULL,
}
