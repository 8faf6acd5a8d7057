package dev.cardamomlane.core.clock

import java.util.concurrent.TimeUnit

/**
 * The clock of this machine: [BootTimeClock], or the monotonic clock where that can't be read. The monotonic clock may
 * stop while the machine is suspended.
 *
 * Safe for use by several threads.
 */
public object MachineClock : ElapsedClock {
    private val bootTime = runCatching(BootTimeClock::open)
    internal val clock: ElapsedClock =
        bootTime.getOrDefault(ElapsedClock { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) })

    /** Why [BootTimeClock] can't be read, or null when it can. */
    public val failure: String? = bootTime.exceptionOrNull()?.message

    override fun nowMillis(): Long = clock.nowMillis()
}
