package dev.cardamomlane.core.group

/** The role a target plays in its database group. */
public enum class TargetRole {
    /** Takes writes and ships its log. */
    PRIMARY,

    /** Replays the log of a primary and serves reads only. */
    REPLICA,
}
