package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.failover.FailoverEvent
import dev.cardamomlane.core.failover.FailoverMachine
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import dev.cardamomlane.daemon.DatabaseGroup
import dev.cardamomlane.daemon.GroupView
import dev.cardamomlane.daemon.TargetEvent
import reactor.core.publisher.Mono

/**
 * A [DatabaseGroup] whose targets are polled and whose primary is replaced when it fails.
 *
 * To be used on the event loop of its [driver] only.
 */
internal class MonitoredDatabaseGroup(
    private val monitor: GroupMonitor,
    private val machine: FailoverMachine,
    private val driver: FailoverDriver,
    private val timers: TimerService,
) : DatabaseGroup {
    private val updatedAtMillis = HashMap<TargetId, Long>()

    override val database: DatabaseId get() = monitor.database

    fun start() = driver.start()

    fun stop() = driver.stop()

    override fun choose(request: RouteRequest): RouteChoice = monitor.table.choose(request, timers.nowMillis())

    override fun minimumPosition(): Mono<LogPosition> = driver.minimumPosition()

    override fun observe(event: TargetEvent) {
        when (event) {
            is TargetEvent.Failed, is TargetEvent.NotPrimary -> driver.pollSoon()
            is TargetEvent.Acknowledged ->
                if (isDue(event.target)) monitor.onAcknowledged(event.position, timers.nowMillis())
            is TargetEvent.Applied ->
                if (isDue(event.target)) monitor.onApplied(event.target, event.applied, timers.nowMillis())
            is TargetEvent.Served -> Unit
        }
    }

    override fun view(): GroupView = GroupView(database, monitor.term, monitor.primary)

    /** This host's view of the group, for peers that request it. */
    fun peerView(): PeerView = machine.view(timers.nowMillis())

    /** Handles the announcement of a peer that [primary] is the primary of [term]. */
    fun onNewTerm(term: Long, primary: TargetId) {
        driver.on(FailoverEvent.TermAnnounced(term, primary))
        driver.pollSoon()
    }

    /** Limits how often positions that the data path reports for a target rebuild the routing table. */
    private fun isDue(target: TargetId): Boolean {
        val nowMillis = timers.nowMillis()
        val lastMillis = updatedAtMillis[target]
        if (lastMillis != null && nowMillis - lastMillis < MIN_UPDATE_SPACING_MILLIS) return false
        updatedAtMillis[target] = nowMillis
        return true
    }

    private companion object {
        const val MIN_UPDATE_SPACING_MILLIS = 5L
    }
}
