package dev.cardamomlane.engine.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.log.DecisionLog

/** What sessions need of their host. */
public interface SessionServices {
    public val timers: TimerService
    public val log: DecisionLog
    public val gate: AdmissionGate

    /** The newest configuration known here. */
    public val configuration: Configuration

    /** The group, or null when no target of it is known. */
    public fun group(id: DatabaseId): DatabaseGroup?

    /** Counts one answer by its outcome; null is a success. */
    public fun count(route: String, outcome: String, tookMillis: Long)
}
