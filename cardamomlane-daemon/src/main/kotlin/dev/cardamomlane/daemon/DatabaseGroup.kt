package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import reactor.core.publisher.Mono

/**
 * One database group as the data path sees it.
 *
 * All calls come on the daemon's event loop thread and none blocks.
 */
public interface DatabaseGroup {
    public val database: DatabaseId

    /** Chooses the target for a request. Cheap: called once a statement. */
    public fun choose(request: RouteRequest): RouteChoice

    /**
     * Finds the floor of a session that came without a position: the highest received position among a majority of
     * the group's targets, asked after this call. Callers that ask at the same time share one round. Fails when no
     * majority answers in time.
     */
    public fun minimumPosition(): Mono<LogPosition>

    /** Takes what the data path saw of a target. */
    public fun observe(event: TargetEvent)

    public fun view(): GroupView
}
