package dev.cardamomlane.standin.platform

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** The faults of the platform, each switched while it runs. Safe for use by several threads. */
internal class PlatformFaults {
    private val answersToLose = AtomicInteger()

    @Volatile
    private var outageEndNanos: Long? = null

    @Volatile
    var slowMillis: Long = 0

    val loseAnswers: Int get() = answersToLose.get()

    /** Whether requests fail before they take effect. */
    val isInOutage: Boolean get() = outageEndNanos?.let { System.nanoTime() < it } ?: false

    /** Starts an outage of [millis], or one that lasts until [heal]. */
    fun startOutage(millis: Long?) {
        outageEndNanos = System.nanoTime() + (millis?.let(TimeUnit.MILLISECONDS::toNanos) ?: UNTIL_HEALED_NANOS)
    }

    fun loseAnswers(count: Int) {
        answersToLose.set(count)
    }

    /** Takes one answer to lose, if there is one left. */
    fun consumeLostAnswer(): Boolean = answersToLose.getAndUpdate { if (it > 0) it - 1 else 0 } > 0

    fun heal() {
        outageEndNanos = null
        slowMillis = 0
        answersToLose.set(0)
    }

    private companion object {
        val UNTIL_HEALED_NANOS = TimeUnit.DAYS.toNanos(365)
    }
}
