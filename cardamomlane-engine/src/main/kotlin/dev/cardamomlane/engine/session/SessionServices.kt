package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.forward.Forwarder
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.log.DecisionLog

/** What sessions use of the host that they belong to. */
public interface SessionServices {
    public val timers: TimerService
    public val log: DecisionLog
    public val gate: AdmissionGate

    /** The optional features that are on. */
    public val features: Features

    /** Chooses the hosts on which operations run. */
    public val forwarder: Forwarder

    /** The newest configuration that this host knows. It may differ between two calls. */
    public val configuration: Configuration

    /** False once this host stops and what begins now might not end in time. */
    public val startsOperations: Boolean

    /** Returns the group with [id], or null when this host knows neither a target nor a configuration of it. */
    public fun group(id: DatabaseId): DatabaseGroup?

    /**
     * Counts one answer to a caller and how long it took.
     *
     * @param outcome the name of an error code, or `OK` for a success
     */
    public fun count(route: String, outcome: String, tookMillis: Long)
}
