package dev.cardamomlane.core.failover

/** Why a group needs a new term. */
internal enum class FailoverReason {
    /** The primary answers neither on existing nor on new connections. */
    PRIMARY_UNREACHABLE,

    /**
     * The group has no primary: a majority is fenced above the last term with a primary, or that primary lost its role.
     */
    HEADLESS,

    /** A minority is fenced above the current term and can't replicate until the group has a later one. */
    STRAY_FENCE,

    /** The primary answers, but no majority receives what it writes. */
    REPLICATION_STALLED,

    /** The platform is about to remove the primary. */
    PRIMARY_LEAVING,
    ;

    /** Whether the primary of the last term may be promoted again only if the other fenced targets are no majority. */
    val avoidsPrimary: Boolean
        get() = this == PRIMARY_UNREACHABLE || this == REPLICATION_STALLED || this == PRIMARY_LEAVING

    /** Whether the group may still accept writes, so that repeated failovers are subject to [FailoverRateLimit]. */
    val isRateLimited: Boolean
        get() = this != HEADLESS
}
