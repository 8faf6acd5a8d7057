package dev.cardamomlane.core.queue

/**
 * The waiting line in front of one target.
 *
 * It runs no more statements at once than its [ConcurrencyLimit] allows and orders the others: by class first, then
 * by weighted fair share among customers, which is counted in service time. A class that waits too long gets a bounded
 * part of the starts, so that nothing starves. A ticket whose expected wait is beyond its deadline is refused at once.
 *
 * The queue keeps no clock. Callers pass monotonic times that never decrease. Not safe for use by several threads.
 */
public interface SlotQueue {
    /** The tickets that hold a slot. */
    public val runningCount: Int

    /** The tickets that wait. */
    public val waitingCount: Int

    /** The most statements that may run at once now. */
    public val limit: Int

    /** The earliest deadline among waiting tickets, at which [poll] should be called, or null when none waits. */
    public val nextDeadlineMillis: Long?

    /** Takes or refuses [ticket]. */
    public fun offer(ticket: QueueTicket, nowMillis: Long): OfferResult

    /**
     * Frees the slot of the ticket [id], whose statement occupied the target for [serviceMillis], and starts others.
     *
     * @throws IllegalStateException if the ticket holds no slot
     */
    public fun finished(id: Long, serviceMillis: Double, nowMillis: Long): Dispatch

    /** Takes the ticket [id] out of the waiting line. Returns false when it does not wait. */
    public fun cancel(id: Long): Boolean

    /** Removes tickets past their deadline and fills free slots. */
    public fun poll(nowMillis: Long): Dispatch
}
