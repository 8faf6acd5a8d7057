package dev.cardamomlane.daemon

import io.netty.channel.DefaultEventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

class EventLoopTimerServiceTest {
    private val loop = DefaultEventLoop()

    @AfterEach
    fun stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync()
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
