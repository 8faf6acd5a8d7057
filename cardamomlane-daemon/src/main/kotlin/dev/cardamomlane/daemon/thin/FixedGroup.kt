package dev.cardamomlane.daemon.thin

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.daemon.DatabaseGroup
import dev.cardamomlane.daemon.GroupView
import dev.cardamomlane.daemon.TargetEvent
import reactor.core.publisher.Mono

/** A group whose first target is the primary of term 1 and never changes. */
internal class FixedGroup(override val database: DatabaseId, private val primary: TargetId) : DatabaseGroup {
    override fun choose(request: RouteRequest): RouteChoice =
        RouteChoice.Use(primary, term = 1, TargetRole.PRIMARY, request.floor)

    override fun floor(): Mono<LogPosition> = Mono.just(LogPosition.START)

    override fun observe(event: TargetEvent) = Unit

    override fun view(): GroupView = GroupView(database, term = 1, primary)
}
