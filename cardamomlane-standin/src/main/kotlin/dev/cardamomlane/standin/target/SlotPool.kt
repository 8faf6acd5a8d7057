package dev.cardamomlane.standin.target

import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs at most [slots] tasks at once. Further tasks wait in a queue, first in, first out. */
internal class SlotPool(name: String, slots: Int) : AutoCloseable {
    private val threads = ThreadPoolExecutor(slots, slots, 10, TimeUnit.SECONDS, LinkedBlockingQueue()) { work ->
        Thread(work, name).apply { isDaemon = true }
    }.apply { allowCoreThreadTimeOut(true) }

    val running: Int get() = threads.activeCount
    val queued: Int get() = threads.queue.size

    fun <T> submit(work: () -> T): CompletableFuture<T> = CompletableFuture.supplyAsync(work, threads)

    override fun close() {
        threads.shutdown()
    }
}
