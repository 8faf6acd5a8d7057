package dev.cardamomlane.core.failover

/** Whether a daemon reaches the primary of a group. */
public enum class PrimaryReach {
    /** The primary answered the last poll. */
    REACHED,

    /** The last poll failed, but the bounds for a suspicion are not reached. */
    FAILING,

    /** The primary is suspected, while a majority of the targets answers this daemon. */
    SUSPECTED,

    /** The daemon can't tell: it does not watch the group, or reaches no majority of its targets. */
    UNKNOWN,
}
