package dev.cardamomlane.core.clock

import com.sun.jna.Memory
import com.sun.jna.Native
import com.sun.jna.Pointer
import java.util.concurrent.TimeUnit

/**
 * The time since the machine started, `CLOCK_BOOTTIME` of Linux.
 *
 * It goes on while the machine is suspended, unlike [System.nanoTime], and no step of the time of day moves it, unlike
 * [System.currentTimeMillis]. The JDK has no access to it, so it is read from the C library.
 *
 * Safe for use by several threads.
 */
public class BootTimeClock private constructor() : ElapsedClock {
    private val time = Memory(TIMESPEC_BYTES)

    @Synchronized
    override fun nowMillis(): Long {
        check(CLibrary.clock_gettime(CLOCK_BOOTTIME, time) == 0) { "clock_gettime failed" }
        return TimeUnit.SECONDS.toMillis(time.getLong(0)) +
            TimeUnit.NANOSECONDS.toMillis(time.getLong(NANOSECONDS_OFFSET_BYTES))
    }

    private object CLibrary {
        init {
            Native.register(CLibrary::class.java, "c")
        }

        @JvmStatic
        @Suppress("ktlint:standard:function-naming", "FunctionNaming")
        external fun clock_gettime(clock: Int, time: Pointer): Int
    }

    public companion object {
        private const val CLOCK_BOOTTIME = 7

        /** A `struct timespec` of a 64-bit system: seconds and nanoseconds, of 8 bytes each. */
        private const val TIMESPEC_BYTES = 16L
        private const val NANOSECONDS_OFFSET_BYTES = 8L
        private const val LONG_BYTES = 8

        /**
         * Opens the clock.
         *
         * @throws UnsupportedOperationException if this system has no such clock, or it can't be read
         */
        public fun open(): BootTimeClock = try {
            check(Native.LONG_SIZE == LONG_BYTES) { "the system has ${Native.LONG_SIZE} bytes per long" }
            BootTimeClock().apply { nowMillis() }
        } catch (e: LinkageError) {
            throw UnsupportedOperationException(e.toString(), e)
        } catch (e: IllegalStateException) {
            throw UnsupportedOperationException(e.message, e)
        }
    }
}
