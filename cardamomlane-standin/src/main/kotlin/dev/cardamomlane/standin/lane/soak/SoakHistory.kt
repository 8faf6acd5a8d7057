package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.load.LoadHistory
import dev.cardamomlane.standin.lane.record.CallerCommit
import java.util.concurrent.ConcurrentLinkedQueue

/** What callers sent and got in a soak, and what disturbed it. Safe for use by several threads. */
internal class SoakHistory {
    /** The texts, values and plans that callers sent, and their answers. */
    val sent = LoadHistory()
    private val statements = ConcurrentLinkedQueue<SoakStatement>()
    private val acknowledged = ConcurrentLinkedQueue<CallerCommit>()
    private val seenEffects = ConcurrentLinkedQueue<RouteEffect>()
    private val ended = ConcurrentLinkedQueue<Disturbance>()

    fun add(statement: SoakStatement) {
        statements += statement
    }

    fun add(commit: CallerCommit) {
        acknowledged += commit
    }

    fun add(effect: RouteEffect) {
        seenEffects += effect
    }

    fun add(disturbance: Disturbance) {
        ended += disturbance
    }

    fun statements(): List<SoakStatement> = statements.toList()

    fun commits(): List<CallerCommit> = acknowledged.toList()

    fun effects(): List<RouteEffect> = seenEffects.toList()

    fun disturbances(): List<Disturbance> = ended.toList()
}
