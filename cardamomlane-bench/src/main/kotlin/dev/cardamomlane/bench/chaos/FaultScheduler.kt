package dev.cardamomlane.bench.chaos

import dev.cardamomlane.bench.fault.FaultInjector
import dev.cardamomlane.bench.fault.FaultPlan
import org.tinylog.kotlin.Logger
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/** Begins and ends the faults of a seed's [FaultPlan] at their times. */
internal class FaultScheduler(
    private val injector: FaultInjector,
    private val databaseCount: Int,
    private val daemonCount: Int,
) {
    /** Blocks for [runMillis]. Faults that have not ended by then stay; [FaultInjector.healAll] ends them. */
    fun run(seed: Int, runMillis: Long) {
        val executor = Executors.newScheduledThreadPool(THREADS)
        for (planned in FaultPlan(seed, databaseCount, TARGETS_IN_GROUP, daemonCount).draw(runMillis)) {
            executor.schedule(
                logged {
                    beginAndScheduleEnd(executor, planned.lengthMillis) { injector.begin(planned.fault) }
                },
                planned.atMillis,
            )
        }
        Thread.sleep(runMillis)
        executor.shutdownNow()
        executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun beginAndScheduleEnd(executor: ScheduledExecutorService, lengthMillis: Long, begin: () -> (() -> Unit)) {
        val end = begin()
        executor.schedule(logged(end), lengthMillis)
    }

    private fun logged(action: () -> Unit): Runnable = Runnable {
        try {
            action()
        } catch (exception: Exception) {
            Logger.warn(exception, "faults: a fault could not be begun or ended")
        }
    }

    private fun ScheduledExecutorService.schedule(action: Runnable, delayMillis: Long) {
        schedule(action, delayMillis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val THREADS = 8
        const val TARGETS_IN_GROUP = 3
        const val STOP_TIMEOUT_SECONDS = 10L
    }
}
