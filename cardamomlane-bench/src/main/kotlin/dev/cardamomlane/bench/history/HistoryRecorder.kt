package dev.cardamomlane.bench.history

import java.util.concurrent.ConcurrentLinkedQueue

/** Collects the operations of a run and is its clock. Safe for use by several threads. */
internal class HistoryRecorder {
    private val startNanos = System.nanoTime()
    private val recorded = ConcurrentLinkedQueue<Operation>()

    /** Monotonic microseconds since the recorder was created. */
    fun nowMicros(): Long = (System.nanoTime() - startNanos) / 1_000

    fun add(operation: Operation) {
        recorded += operation
    }

    fun operations(): List<Operation> = recorded.toList()
}
