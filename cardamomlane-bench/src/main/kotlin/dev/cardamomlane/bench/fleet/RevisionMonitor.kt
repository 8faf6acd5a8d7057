package dev.cardamomlane.bench.fleet

import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.fault.SandboxClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Polls which revision each daemon has in force and records each return to an earlier revision. */
internal class RevisionMonitor(endpoints: Endpoints) : AutoCloseable {
    private val client = SandboxClient(endpoints)
    private val daemons = endpoints.daemons
    private val executor = Executors.newScheduledThreadPool(daemons.size)
    private val revisions = ConcurrentHashMap<String, Long>()

    /** One line for each time that a daemon went back to an earlier revision. */
    val reverts = ConcurrentLinkedQueue<String>()

    fun start() {
        daemons.forEach { executor.scheduleWithFixedDelay({ poll(it) }, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS) }
    }

    /** Blocks until every daemon has [revision] or a later one in force. Returns false after [limitMillis]. */
    fun await(revision: Long, limitMillis: Long): Boolean {
        val endNanos = System.nanoTime() + limitMillis * 1_000_000
        while (System.nanoTime() < endNanos) {
            if (daemons.all { (revisions[it.name] ?: 0) >= revision }) return true
            Thread.sleep(PERIOD_MILLIS / 2)
        }
        return false
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun poll(daemon: DaemonEndpoint) {
        val revision = client.revisionOf(daemon) ?: return
        val before = revisions.put(daemon.name, revision) ?: return
        if (revision < before) reverts += "${daemon.name} went from revision $before to $revision"
    }

    private companion object {
        const val PERIOD_MILLIS = 20L
    }
}
