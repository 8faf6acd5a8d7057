package dev.cardamomlane.standin.lane.soak

import java.util.concurrent.ConcurrentLinkedQueue

/** What callers sent and got in a soak, and what disturbed it. Safe for use by several threads. */
internal class SoakHistory {
    private val statements = ConcurrentLinkedQueue<SoakStatement>()
    private val ended = ConcurrentLinkedQueue<Disturbance>()

    fun add(statement: SoakStatement) {
        statements += statement
    }

    fun add(disturbance: Disturbance) {
        ended += disturbance
    }

    fun statements(): List<SoakStatement> = statements.toList()

    fun disturbances(): List<Disturbance> = ended.toList()
}
