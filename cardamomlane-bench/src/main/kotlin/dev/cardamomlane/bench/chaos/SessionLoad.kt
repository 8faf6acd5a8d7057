package dev.cardamomlane.bench.chaos

import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.history.HistoryRecorder
import dev.cardamomlane.bench.load.RoamingSession
import dev.cardamomlane.bench.load.SessionMix
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Runs sessions, each on a thread of its own, spread evenly over databases and customers. */
internal class SessionLoad(
    private val endpoints: Endpoints,
    private val recorder: HistoryRecorder,
    private val seed: Int,
    private val sessionCount: Int,
    writesOnly: Boolean,
) {
    private val mix = if (writesOnly) SessionMix(insertFraction = 1.0, transactionFraction = 0.0) else SessionMix()
    private val executor = Executors.newFixedThreadPool(sessionCount)
    private val stopRequested = AtomicBoolean()

    fun start() {
        repeat(sessionCount) { index ->
            val session =
                RoamingSession(
                    name = "s$index",
                    seed = seed * SEED_STRIDE + index,
                    daemons = endpoints.daemons,
                    database = endpoints.databases[index % endpoints.databases.size],
                    customer = endpoints.customers[index % endpoints.customers.size],
                    recorder = recorder,
                    mix = mix,
                )
            executor.execute { session.run(stopRequested::get) }
        }
    }

    /**
     * Ends each session after its current operation and blocks until all have ended.
     *
     * @throws IllegalStateException if one has not ended after [STOP_TIMEOUT_SECONDS]
     */
    fun stop() {
        stopRequested.set(true)
        executor.shutdown()
        check(executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            "sessions did not end in $STOP_TIMEOUT_SECONDS s"
        }
    }

    private companion object {
        const val SEED_STRIDE = 1_000
        const val STOP_TIMEOUT_SECONDS = 90L
    }
}
