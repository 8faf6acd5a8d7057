package dev.cardamomlane.core.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import kotlinx.collections.immutable.persistentListOf

internal val A = TargetId("orders-1-a")
internal val B = TargetId("orders-1-b")
internal val C = TargetId("orders-1-c")

internal fun position(text: String): LogPosition = requireNotNull(LogPosition.parse(text))

internal fun primary(log: String, fence: Long = position(log).term, leaving: Boolean = false): TargetStatus =
    TargetStatus(TargetRole.PRIMARY, fence, received = position(log), applied = position(log), leaving = leaving)

internal fun replica(
    received: String,
    applied: String = received,
    fence: Long = 1,
    following: TargetId? = A,
    leaving: Boolean = false,
    incarnation: String = "",
): TargetStatus = TargetStatus(
    role = TargetRole.REPLICA,
    fenceTerm = fence,
    received = position(received),
    applied = position(applied),
    following = following,
    leaving = leaving,
    incarnation = incarnation,
)

/** A replica that was fenced at term 2 while that term has no primary yet. */
internal val FENCED: TargetStatus = replica("1:9", fence = 2, following = null)

/** Drives a [GroupMonitor] of three targets: [A] and [B] in this host's availability zone, [C] in another. */
internal class GroupFixture(settings: RoutingSettings = RoutingSettings()) {
    val monitor = GroupMonitor(
        database = DatabaseId("orders-1"),
        targets = persistentListOf(GroupTarget(A), GroupTarget(B), GroupTarget(C, zoneDistance = 1)),
        settings = settings,
    )
    var nowMillis = 0L

    /** Polls all targets at [nowMillis]; the poll of a target without an entry in [answers] fails. */
    fun poll(vararg answers: Pair<TargetId, TargetStatus>): PollRound {
        val round = monitor.beginRound(nowMillis)
        answers.forEach { (target, status) -> monitor.onStatus(round, target, status, nowMillis) }
        listOf(A, B, C).filter { target -> answers.none { it.first == target } }
            .forEach { monitor.onFailure(it, nowMillis, newConnection = true) }
        return round
    }

    fun read(
        maxAgeMillis: Long? = 1_000,
        minimumPosition: String = "0:0",
        excluded: Set<TargetId> = emptySet(),
        load: (TargetId) -> Int = { 0 },
    ): RouteChoice = choose(RouteRequest(write = false, position(minimumPosition), maxAgeMillis, excluded, load))

    fun write(): RouteChoice = choose(RouteRequest(true, LogPosition.START, null, emptySet()) { 0 })

    private fun choose(request: RouteRequest): RouteChoice = monitor.table.choose(request, nowMillis)
}
