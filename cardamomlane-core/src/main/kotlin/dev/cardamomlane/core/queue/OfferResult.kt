package dev.cardamomlane.core.queue

/** The result of offering a ticket to a [SlotQueue]. */
public sealed interface OfferResult {
    /** The ticket holds a slot: start it now and call [SlotQueue.finished] at its end. */
    public data object Run : OfferResult

    /**
     * The ticket waits until a later [Dispatch] returns it, another ticket displaces it or [SlotQueue.cancel] removes
     * it.
     *
     * @property displaced a ticket that was removed from the full queue to make room; refuse it as not run
     */
    public data class Queued(val displaced: QueueTicket? = null) : OfferResult

    /**
     * The ticket was not accepted and has not run.
     *
     * @property retryAfterMillis how long to wait until another attempt is likely to be accepted
     */
    public data class Refused(val reason: QueueRefusal, val retryAfterMillis: Long) : OfferResult
}
