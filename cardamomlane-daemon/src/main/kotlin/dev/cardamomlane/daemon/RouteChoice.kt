package dev.cardamomlane.daemon

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** Where a request goes. */
public sealed interface RouteChoice {
    /**
     * Run on [target].
     *
     * @property term the group's term when the choice was made
     * @property requirePosition what the target must show to have applied, on the same connection, before the answer
     *   of a read may be used; covers the session's floor and the rule's stated age
     */
    public data class Use(
        val target: TargetId,
        val term: Long,
        val role: TargetRole,
        val requirePosition: LogPosition,
    ) : RouteChoice

    /** Ask again after [millis]. */
    public data class Wait(val millis: Long) : RouteChoice

    /** No target can serve the request now. */
    public data class Unavailable(val reason: String) : RouteChoice
}
