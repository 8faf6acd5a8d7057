package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** The answer to a [RouteRequest]. */
public sealed interface RouteChoice {
    /**
     * Send the request to [target]. A read counts only if the position answer that came before it on the same
     * connection satisfies [requirement].
     *
     * @property requiredPosition the position that the target must have applied
     * @property validUntilMillis after this moment [requiredPosition] no longer proves the stated age
     */
    public data class Use(
        val target: TargetId,
        val term: Long,
        val role: TargetRole,
        val requiredPosition: LogPosition,
        val validUntilMillis: Long = Long.MAX_VALUE,
    ) : RouteChoice {
        /** What the position answer of the target must satisfy. */
        val requirement: ReadRequirement
            get() = ReadRequirement(term, requiredPosition, validUntilMillis)
    }

    /** Ask again after [millis]: a replica is expected to catch up, or a primary to be known. */
    public data class Wait(val millis: Long) : RouteChoice

    /** No target may serve the request now. Nothing was sent. */
    public data class Unavailable(val reason: String) : RouteChoice
}
