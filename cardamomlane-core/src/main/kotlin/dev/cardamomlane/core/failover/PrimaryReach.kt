package dev.cardamomlane.core.failover

/** How a daemon sees the primary of a group. */
public enum class PrimaryReach {
    /** Its last poll was answered. */
    REACHED,

    /** Polls fail, but not for long enough to suspect it. */
    FAILING,

    /** It is suspected, while a majority of the targets answers. */
    SUSPECTED,

    /** The daemon can't tell: it does not watch the group, or reaches no majority of its targets. */
    UNKNOWN,
}
