package dev.cardamomlane.engine.fleet

/** The answer to an order to promote a target. */
public enum class PromotionOutcome {
    /** The platform accepted the order; the promotion may still be under way. */
    ACCEPTED,

    /** The target is not running. */
    NOT_RUNNING,

    /** The order was refused or was not sent: it has no effect. */
    NOT_PERFORMED,

    /** No answer, or one that doesn't tell whether the order was accepted. */
    UNKNOWN,
}
