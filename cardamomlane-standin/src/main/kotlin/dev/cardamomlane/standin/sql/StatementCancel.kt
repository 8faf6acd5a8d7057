package dev.cardamomlane.standin.sql

import java.sql.SQLException
import java.sql.Statement
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Lets another thread cancel the statement that a session runs. */
internal class StatementCancel {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var running: Statement? = null
    private var deadlineNanos: Long? = null

    /** Whether the statement that runs, or ran last, was cancelled. */
    @Volatile
    var cancelled: Boolean = false
        private set

    /** Runs [action] as the session's statement on this thread, for at most [timeoutMillis] unless that is 0. */
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

    /** Forgets an earlier cancel. */
    fun reset() {
        cancelled = false
    }

    /** Cancels the statement that runs or is about to run. */
    fun cancel() {
        lock.withLock {
            cancelled = true
            changed.signalAll()
            running?.cancel()
        }
    }

    /** Sleeps, or throws an [SQLException] when the statement is cancelled. */
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

        /** The guard of this thread's statement, or one that nobody cancels. */
        fun ofThread(): StatementCancel = current.get() ?: StatementCancel()
    }
}
