package dev.cardamomlane.standin.sql

import java.sql.SQLException
import java.sql.Statement
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Cancels the running statement of one session from another thread, or at its timeout. */
internal class StatementCancel {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var running: Statement? = null
    private var deadlineNanos: Long? = null

    /** Whether the running or last statement was cancelled. */
    @Volatile
    var cancelled: Boolean = false
        private set

    /**
     * Runs [action], which executes [statement], on this thread. [cancel] interrupts it.
     *
     * The statement's query timeout is set to [timeoutMillis], rounded up to whole seconds. [sleep] ends exactly at
     * [timeoutMillis]. 0 means no timeout.
     */
    fun <T> runCancellable(statement: Statement, timeoutMillis: Long, action: () -> T): T {
        lock.withLock {
            if (cancelled) throw cancelledError()
            running = statement
            deadlineNanos = if (timeoutMillis == 0L) null else System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        }
        statement.queryTimeout = ((timeoutMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toInt()
        current.set(this)
        try {
            return action()
        } finally {
            current.remove()
            lock.withLock {
                running = null
                deadlineNanos = null
            }
        }
    }

    /** Clears an earlier cancel. Called before each message group. */
    fun reset() {
        cancelled = false
    }

    /** Cancels the statement that is running or about to run. */
    fun cancel() {
        lock.withLock {
            cancelled = true
            changed.signalAll()
            running?.cancel()
        }
    }

    /** Blocks for [millis]. Throws [SQLException] at once if the statement is cancelled or its timeout passes. */
    fun sleep(millis: Long) {
        lock.withLock {
            val wantedNanos = TimeUnit.MILLISECONDS.toNanos(millis)
            var leftNanos = minOf(wantedNanos, deadlineNanos?.let { it - System.nanoTime() } ?: wantedNanos)
            val timesOut = leftNanos < wantedNanos
            while (!cancelled && leftNanos > 0) leftNanos = changed.awaitNanos(leftNanos)
            if (cancelled || timesOut) throw cancelledError()
        }
    }

    private fun cancelledError() = SQLException("canceling statement due to user request", "57014")

    companion object {
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val MILLIS_PER_SECOND = 1_000L
        private val current = ThreadLocal<StatementCancel>()

        /** The instance of the statement that runs on this thread, or a new one that is never cancelled. */
        fun ofThread(): StatementCancel = current.get() ?: StatementCancel()
    }
}
