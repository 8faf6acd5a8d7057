package dev.cardamomlane.core.clock

import org.junit.jupiter.api.condition.EnabledOnOs
import org.junit.jupiter.api.condition.OS
import java.io.File
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

@EnabledOnOs(OS.LINUX)
class BootTimeClockTest {
    /** Guards against another clock of the kernel, which stops while the machine is suspended or steps. */
    @Test
    fun `the time is the one for which the machine runs, suspension included`() {
        val clock = BootTimeClock.open()

        val before = clock.nowMillis()
        val kernelMillis = (File("/proc/uptime").readText().substringBefore(' ').toDouble() * 1_000).toLong()
        val after = clock.nowMillis()

        assertTrue(kernelMillis in before - RESOLUTION_MILLIS..after, "$kernelMillis is not in $before..$after")
    }

    /** Guards against hosts that silently use a clock which does not count suspension. */
    @Test
    fun `the clock of the machine is this one`() {
        assertNull(MachineClock.failure)
        assertIs<BootTimeClock>(MachineClock.clock)
        val before = BootTimeClock.open().nowMillis()
        val millis = MachineClock.nowMillis()
        assertTrue(millis in before..BootTimeClock.open().nowMillis())
    }

    private companion object {
        /** The kernel reports the time in hundredths of a second. */
        const val RESOLUTION_MILLIS = 10L
    }
}
