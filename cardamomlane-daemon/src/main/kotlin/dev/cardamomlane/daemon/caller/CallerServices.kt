package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.retry.RetryBudget
import dev.cardamomlane.daemon.FleetGate
import dev.cardamomlane.daemon.GroupDirectory
import dev.cardamomlane.daemon.settings.CallerSettings
import dev.cardamomlane.daemon.target.TargetDispatcher
import dev.cardamomlane.daemon.target.TargetProbe
import io.opentelemetry.api.trace.Tracer

/** The services and the state that all caller sessions of this host share. */
internal class CallerServices(
    val host: HostId,
    val settings: CallerSettings,
    val timers: TimerService,
    val gate: FleetGate,
    val groups: GroupDirectory,
    val dispatchers: Map<TargetId, TargetDispatcher>,
    val probe: TargetProbe,
    val meters: CallerMeters,
    val tracer: Tracer,
) {
    val facts = StatementFactsCache()
    val retryBudget = RetryBudget()

    /** The units in progress. */
    val executions = LinkedHashSet<UnitExecution>()
    private var lastTicket = 0L

    /** Returns an id that no other [dev.cardamomlane.core.queue.QueueTicket] of this host has. */
    fun nextTicket(): Long = ++lastTicket

    fun dispatcher(target: TargetId): TargetDispatcher = checkNotNull(dispatchers[target]) { "unknown target $target" }
}
