package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** The answer to a [RouteRequest]. */
public sealed interface RouteChoice {
    /**
     * Send the request to [target]. The answer to a read may be used only if the [PositionAnswer] that came before it
     * on the same connection satisfies [requirement].
     *
     * @property requiredPosition the position that the target must have applied
     * @property validUntilMillis after this time [requiredPosition] no longer proves the maximum age of the read
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

    /** Choose again after [millis], when a replica is expected to have caught up or a primary may be known. */
    public data class Wait(val millis: Long) : RouteChoice

    /** No target may serve the request now. It was not sent to any. */
    public data class Unavailable(val reason: String) : RouteChoice
}
