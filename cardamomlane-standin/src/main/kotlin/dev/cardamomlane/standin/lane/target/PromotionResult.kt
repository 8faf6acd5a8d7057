package dev.cardamomlane.standin.lane.target

/** The answer to a promotion. */
internal enum class PromotionResult {
    /** The promotion takes effect later, or the target leads the group already. */
    ACCEPTED,

    /** The target does not run. */
    NOT_RUNNING,
}
