package dev.cardamomlane.core.failover

/** Why a group needs a new term. */
internal enum class FailoverReason {
    /** The primary answers neither on existing nor on new connections. */
    PRIMARY_UNREACHABLE,

    /** No target leads: a majority is fenced beyond the last term with a primary, or that primary lost its role. */
    HEADLESS,

    /** A minority is fenced beyond the current term and can't replicate until a later one. */
    STRAY_FENCE,

    /** The primary answers, but no majority receives what it writes. */
    REPLICATION_STALLED,

    /** The platform takes the primary away. */
    PRIMARY_LEAVING,
    ;

    /** Whether the primary of the last term is chosen again only if no majority does without it. */
    val avoidsPrimary: Boolean
        get() = this == PRIMARY_UNREACHABLE || this == REPLICATION_STALLED || this == PRIMARY_LEAVING

    /** Whether the group works in the meantime, so that repeated attempts must be kept apart. */
    val isLimited: Boolean
        get() = this != HEADLESS
}
