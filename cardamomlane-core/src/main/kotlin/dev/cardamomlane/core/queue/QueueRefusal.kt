package dev.cardamomlane.core.queue

/** Why a [SlotQueue] does not take a ticket. */
public enum class QueueRefusal {
    /** The expected wait ends after the ticket's deadline. */
    DEADLINE,

    /** The customer has as many tickets waiting as one customer may have. */
    CUSTOMER_FULL,

    /** The queue is full and holds nothing that is less urgent or from a longer line. */
    QUEUE_FULL,
}
