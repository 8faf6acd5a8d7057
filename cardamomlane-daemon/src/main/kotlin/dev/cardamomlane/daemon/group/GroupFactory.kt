package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.failover.FailoverMachine
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.GroupTarget
import dev.cardamomlane.daemon.settings.DatabaseSettings
import dev.cardamomlane.daemon.settings.TargetSettings
import dev.cardamomlane.store.PlatformTable
import kotlinx.collections.immutable.toImmutableList
import reactor.core.scheduler.Scheduler
import java.util.UUID
import kotlin.random.Random

/**
 * Creates the database groups of one host.
 *
 * @param scheduler the event loop that [timers] calls on
 * @param control creates the [TargetControl] of one target of a database
 */
internal class GroupFactory(
    private val host: HostId,
    private val availabilityZone: AvailabilityZone,
    private val table: PlatformTable,
    private val messenger: PeerMessenger,
    private val timers: TimerService,
    private val scheduler: Scheduler,
    private val control: (DatabaseSettings, TargetSettings) -> TargetControl,
) {
    // Unique for each process: a restarted process must not be mistaken for the one that claimed a term before.
    private val claimant = "$host/${UUID.randomUUID()}"

    fun create(database: DatabaseSettings): MonitoredDatabaseGroup {
        val targets = database.targets.map { GroupTarget(it.name, zoneDistance(it)) }.toImmutableList()
        val monitor = GroupMonitor(database.name, targets)
        val machine = FailoverMachine(host, claimant, monitor, Random.Default)
        val driver = FailoverDriver(
            monitor = monitor,
            machine = machine,
            controls = database.targets.associate { it.name to control(database, it) },
            claims = TermClaims(table, database.name),
            messenger = messenger,
            timers = timers,
            scheduler = scheduler,
        )
        return MonitoredDatabaseGroup(monitor, machine, driver, timers)
    }

    private fun zoneDistance(target: TargetSettings): Int = if (target.availabilityZone == availabilityZone) 0 else 1
}
