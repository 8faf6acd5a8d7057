package dev.cardamomlane.bench.history

import java.util.concurrent.ConcurrentLinkedQueue

/** Collects the operations of many threads and tells them the time of the run. */
internal class HistoryRecorder {
    private val startNanos = System.nanoTime()
    private val recorded = ConcurrentLinkedQueue<Operation>()

    fun nowMicros(): Long = (System.nanoTime() - startNanos) / 1_000

    fun add(operation: Operation) {
        recorded += operation
    }

    fun operations(): List<Operation> = recorded.toList()
}
