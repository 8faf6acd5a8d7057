package dev.cardamomlane.core.queue

/** What became of a ticket that was offered to a [SlotQueue]. */
public sealed interface OfferResult {
    /** The ticket holds a slot: start it now and call [SlotQueue.finished] at its end. */
    public data object Run : OfferResult

    /**
     * The ticket waits. It comes out of a later [Dispatch], or ends by [SlotQueue.cancel].
     *
     * @property displaced a ticket that left the full queue to make room; refuse it as not run
     */
    public data class Queued(val displaced: QueueTicket? = null) : OfferResult

    /**
     * The ticket was not taken and has not run.
     *
     * @property retryAfterMillis when another attempt is likely to be taken
     */
    public data class Refused(val reason: QueueRefusal, val retryAfterMillis: Long) : OfferResult
}
