package dev.cardamomlane.daemon.caller

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
import java.util.concurrent.CopyOnWriteArrayList

/** A group of the primary `one` and the replica `two`. After `one` refused a write as read only, `two` is primary. */
internal class FakeGroup : DatabaseGroup {
    override val database = DatabaseId("orders-1")
    val events = CopyOnWriteArrayList<TargetEvent>()

    override fun choose(request: RouteRequest): RouteChoice {
        val hasFailedOver = events.any { it is TargetEvent.NotPrimary }
        val first = if (hasFailedOver) TWO else ONE
        val target = listOf(first, TWO).firstOrNull { it !in request.excluded }
            ?: return RouteChoice.Unavailable("all are excluded")
        val role = if (target == first) TargetRole.PRIMARY else TargetRole.REPLICA
        if (request.write && role != TargetRole.PRIMARY) return RouteChoice.Unavailable("no primary")
        return RouteChoice.Use(target, term = 1, role, requiredPosition = request.minimumPosition)
    }

    override fun minimumPosition(): Mono<LogPosition> = Mono.just(LogPosition(term = 1, offset = 5))

    override fun observe(event: TargetEvent) {
        events += event
    }

    override fun view(): GroupView = GroupView(database, term = 1, ONE)

    companion object {
        val ONE = TargetId("one")
        val TWO = TargetId("two")
    }
}
