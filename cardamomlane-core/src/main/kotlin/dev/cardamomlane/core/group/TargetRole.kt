package dev.cardamomlane.core.group

/** The role of a target in its database group. */
public enum class TargetRole {
    /** Takes writes and sends its log to the replicas. */
    PRIMARY,

    /** Replays the log of a primary and serves reads only. */
    REPLICA,
}
