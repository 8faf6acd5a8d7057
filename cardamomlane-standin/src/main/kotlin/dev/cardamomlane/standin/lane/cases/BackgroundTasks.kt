package dev.cardamomlane.standin.lane.cases

import org.tinylog.kotlin.Logger
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** Runs the callers of a case beside one another, each on a thread of its own. [close] interrupts those that are left. */
internal class BackgroundTasks : AutoCloseable {
    private val threads: ExecutorService = Executors.newCachedThreadPool { work ->
        Thread(work, "caller").apply { isDaemon = true }
    }

    /** Runs [task] at once. A failure is logged, and fails the result. */
    fun start(task: () -> Unit): Future<*> = threads.submit {
        try {
            task()
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        } catch (e: Exception) {
            Logger.error(e, "case: a task failed")
            throw e
        }
    }

    /** Runs [task] after [delayMillis]. */
    fun startAfter(delayMillis: Long, task: () -> Unit): Future<*> = start {
        Thread.sleep(delayMillis)
        task()
    }

    /** Runs [task] with the numbers of 0 to before [count] beside one another. Blocks until all have ended. */
    fun runAll(count: Int, task: (Int) -> Unit) {
        List(count) { number -> start { task(number) } }.forEach { it.get(TASK_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
    }

    override fun close() {
        threads.shutdownNow()
    }

    private companion object {
        const val TASK_TIMEOUT_SECONDS = 100L
    }
}
