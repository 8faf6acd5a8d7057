package dev.cardamomlane.standin.platform

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** The faults injected into the platform. Each can be changed while it runs. Safe for use by several threads. */
internal class PlatformFaults {
    private val answersToLose = AtomicInteger()

    @Volatile
    private var outageEndNanos: Long? = null

    /** Delay before each request is handled. */
    @Volatile
    var slowMillis: Long = 0

    val loseAnswers: Int get() = answersToLose.get()

    /** Whether all requests fail, without effect. */
    val isInOutage: Boolean get() = outageEndNanos?.let { System.nanoTime() < it } ?: false

    /** Starts an outage. It lasts [millis], or until [heal] if that is null. */
    fun startOutage(millis: Long?) {
        outageEndNanos = System.nanoTime() + (millis?.let(TimeUnit.MILLISECONDS::toNanos) ?: UNTIL_HEALED_NANOS)
    }

    /** Loses the answers to the next [count] requests that may write. */
    fun loseAnswers(count: Int) {
        answersToLose.set(count)
    }

    /** Returns whether the current answer must be lost, and if so decrements [loseAnswers]. */
    fun consumeLostAnswer(): Boolean = answersToLose.getAndUpdate { if (it > 0) it - 1 else 0 } > 0

    /** Ends all faults. */
    fun heal() {
        outageEndNanos = null
        slowMillis = 0
        answersToLose.set(0)
    }

    private companion object {
        val UNTIL_HEALED_NANOS = TimeUnit.DAYS.toNanos(365)
    }
}
