package dev.cardamomlane.daemon.caller

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.TimeUnit

/** The metrics of the callers' statements. */
internal class CallerMeters(private val registry: MeterRegistry) {
    private val answered = Timer.builder("cardamomlane.units").description("units answered").register(registry)
    private val replicaReads = registry.counter("cardamomlane.reads", "role", "replica")
    private val primaryReads = registry.counter("cardamomlane.reads", "role", "primary")
    private val writes = registry.counter("cardamomlane.writes")
    private val retries = registry.counter("cardamomlane.retries")
    private val stale = registry.counter("cardamomlane.stale")

    fun onAnswered(millis: Long) = answered.record(millis, TimeUnit.MILLISECONDS)

    fun onRead(replica: Boolean) = (if (replica) replicaReads else primaryReads).increment()

    fun onWrite() = writes.increment()

    fun onRetry() = retries.increment()

    fun onStale() = stale.increment()

    fun onRefused(sqlState: String) = registry.counter("cardamomlane.refusals", "sqlstate", sqlState).increment()
}
