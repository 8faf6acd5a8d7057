package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import reactor.core.publisher.Mono

/**
 * One database group as the data path sees it.
 *
 * All calls come on the daemon's event loop thread and must not block.
 */
public interface DatabaseGroup {
    public val database: DatabaseId

    /** Chooses the target for a request. Called for each statement, so it must be fast. */
    public fun choose(request: RouteRequest): RouteChoice

    /**
     * Finds the minimum position of a session that came without a position: the highest position that a majority of the
     * group's targets report as received, in a poll that is sent after this call. Calls at the same time share a poll.
     * Fails when no majority answers in time.
     */
    public fun minimumPosition(): Mono<LogPosition>

    /** Reports what the data path observed on a target. */
    public fun observe(event: TargetEvent)

    public fun view(): GroupView
}
