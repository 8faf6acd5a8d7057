package dev.cardamomlane.engine.fleet

/** The answer to a promotion. */
public enum class PromotionOutcome {
    /** The platform took the order. */
    ACCEPTED,

    /** The target is not running. */
    NOT_RUNNING,

    /** No answer, or one that says nothing about the order. */
    UNKNOWN,
}
