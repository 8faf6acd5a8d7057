package dev.cardamomlane.bench.chaos

import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.fault.Fault
import dev.cardamomlane.bench.fault.FaultInjector
import dev.cardamomlane.bench.fault.SandboxClient
import dev.cardamomlane.bench.fault.TargetChoice
import dev.cardamomlane.bench.history.HistoryRecorder
import dev.cardamomlane.bench.history.Operation
import dev.cardamomlane.bench.history.Outcome

/** Cuts off one primary after another and measures the time until a write that began after the cut is acknowledged. */
internal class FailoverGaps(
    private val endpoints: Endpoints,
    private val client: SandboxClient,
    private val injector: FaultInjector,
    private val recorder: HistoryRecorder,
) {
    /**
     * Returns the gap of each cut in milliseconds, or null where no write was acknowledged within [GAP_TIMEOUT_MILLIS].
     * Blocks until all are measured.
     */
    fun measure(cuts: Int): List<Long?> {
        Thread.sleep(WARM_UP_MILLIS)
        return List(cuts) { measureCut(databaseIndex = it % endpoints.databases.size) }
    }

    private fun measureCut(databaseIndex: Int): Long? {
        val database = endpoints.databases[databaseIndex]
        val primary = client.primaryOf(database)
        val targetIndex = client.targetsByDatabase().getValue(database).indexOf(primary)
        val cut = Fault.Cut(TargetChoice(databaseIndex, targetIndex), callers = true, peers = true)
        val beforeMicros = recorder.nowMicros()
        val heal = injector.begin(cut)
        val gapMillis = awaitFirstWrite(database, beforeMicros, cutMicros = recorder.nowMicros())
        println("cut $primary of $database: ${gapMillis?.let { "$it ms" } ?: "no write within $GAP_TIMEOUT_MILLIS ms"}")
        heal()
        Thread.sleep(RECOVERY_MILLIS)
        return gapMillis
    }

    /**
     * Measures from [beforeMicros], before the cut was requested. Counts only writes that began after [cutMicros], when
     * the call that requested the cut had returned.
     */
    private fun awaitFirstWrite(database: String, beforeMicros: Long, cutMicros: Long): Long? {
        while (recorder.nowMicros() - cutMicros < GAP_TIMEOUT_MILLIS * 1_000) {
            val firstMicros = recorder.operations().filter {
                isAcknowledgedAfter(it, database, cutMicros)
            }.minOfOrNull { it.endMicros }
            if (firstMicros != null) return (firstMicros - beforeMicros) / 1_000
            Thread.sleep(POLL_MILLIS)
        }
        return null
    }

    private fun isAcknowledgedAfter(operation: Operation, database: String, cutMicros: Long): Boolean =
        operation.database == database && operation.startMicros >= cutMicros &&
            operation.outcome == Outcome.ACKNOWLEDGED

    private companion object {
        const val WARM_UP_MILLIS = 5_000L
        const val RECOVERY_MILLIS = 4_000L
        const val GAP_TIMEOUT_MILLIS = 20_000L
        const val POLL_MILLIS = 20L
    }
}
