package dev.cardamomlane.daemon

import dev.cardamomlane.core.clock.BootTimeClock
import dev.cardamomlane.core.clock.MachineClock
import io.netty.channel.DefaultEventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.condition.EnabledOnOs
import org.junit.jupiter.api.condition.OS
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertSame
import kotlin.test.assertTrue

class EventLoopTimerServiceTest {
    private val loop = DefaultEventLoop()

    @AfterEach
    fun stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync()
    }

    /** Guards against a clock that stops while the machine is suspended, which makes evidence and loans look young. */
    @Test
    @EnabledOnOs(OS.LINUX)
    fun `the time of a daemon is that since the machine started, suspension included`() {
        val timers = EventLoopTimerService(loop)
        val before = BootTimeClock.open().nowMillis()
        val millis = timers.nowMillis()
        assertTrue(millis in before..BootTimeClock.open().nowMillis(), "$millis is not the time of the boot time clock")
        assertSame(MachineClock, timers.clock)
    }

    // The first error of the virtual machine ended the heartbeats, polls and timeouts of a host for good.
    @TestFactory
    fun `a repeated task goes on after a run that failed`() =
        listOf(IllegalStateException("odd"), StackOverflowError(), OutOfMemoryError()).map { failure ->
            DynamicTest.dynamicTest(failure.javaClass.simpleName) {
                val runs = CountDownLatch(3)
                val subscription = EventLoopTimerService(loop).every(periodMillis = 1) {
                    runs.countDown()
                    throw failure
                }
                assertTrue(runs.await(5, TimeUnit.SECONDS), "the task ended ${runs.count} runs early")
                subscription.cancel()
            }
        }
}
