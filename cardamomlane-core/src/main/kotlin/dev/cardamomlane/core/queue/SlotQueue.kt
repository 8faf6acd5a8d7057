package dev.cardamomlane.core.queue

/**
 * The queue of statements and transactions for the slots of one target.
 *
 * It runs no more of them at once than its [ConcurrencyLimit] allows and orders the others: by priority class first,
 * then by weighted fair shares of service time among customers. A class that has waited too long gets a bounded part of
 * the starts, so that no class starves. A ticket whose expected wait ends after its deadline is refused at once.
 *
 * The queue reads no clock: callers pass monotonic times that never decrease. Not safe for use by several threads.
 */
public interface SlotQueue {
    /** The number of tickets that hold a slot. */
    public val runningCount: Int

    /** The number of tickets that wait. */
    public val waitingCount: Int

    /** The maximum number of tickets that may hold a slot now. */
    public val limit: Int

    /** The earliest deadline among waiting tickets, at which [poll] should be called, or null when none waits. */
    public val nextDeadlineMillis: Long?

    /** Starts, queues or refuses [ticket]. */
    public fun offer(ticket: QueueTicket, nowMillis: Long): OfferResult

    /**
     * Frees the slot of the ticket [id], which occupied the target for [serviceMillis], and starts waiting tickets.
     *
     * @throws IllegalStateException if the ticket holds no slot
     */
    public fun finished(id: Long, serviceMillis: Double, nowMillis: Long): Dispatch

    /** Removes the waiting ticket [id]. Returns false when it is not waiting. */
    public fun cancel(id: Long): Boolean

    /** Removes tickets past their deadline and starts waiting tickets in free slots. */
    public fun poll(nowMillis: Long): Dispatch
}
