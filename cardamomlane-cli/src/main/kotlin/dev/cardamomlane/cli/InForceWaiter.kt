package dev.cardamomlane.cli

import dev.cardamomlane.store.HostState
import dev.cardamomlane.store.PlatformUnavailableException
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Waits until a proposed revision is accepted and in force on every live host. */
internal class InForceWaiter(private val connection: Connection, private val parent: LaneCtl) {
    private val startNanos = System.nanoTime()
    private var acceptedAfterMillis: Long? = null
    private var laggingHosts: List<String> = emptyList()

    /**
     * Waits for [revision], prints the result and returns the exit code.
     *
     * @param waitSeconds how long to wait at most; 0 returns at once without reading any state
     */
    fun waitFor(revision: Long, waitSeconds: Long): Int {
        if (waitSeconds == 0L) return report(revision, ExitCodes.OK, "Revision $revision is proposed.")
        while (elapsedMillis() < waitSeconds * MILLIS_PER_SECOND) {
            if (isInForce(revision)) {
                val times =
                    "accepted after $acceptedAfterMillis ms, in force on every live host after ${elapsedMillis()} ms"
                return report(revision, ExitCodes.OK, "Revision $revision: $times.")
            }
            Thread.sleep(POLL_MILLIS)
        }
        val state = if (acceptedAfterMillis ==
            null
        ) {
            "not accepted"
        } else {
            "accepted, but not in force on ${laggingHosts.joinToString()}"
        }
        return report(revision, ExitCodes.NOT_IN_FORCE, "Revision $revision is $state after $waitSeconds s.")
    }

    private fun isInForce(revision: Long): Boolean = try {
        if (acceptedAfterMillis == null && connection.head().accepted >= revision) acceptedAfterMillis = elapsedMillis()
        acceptedAfterMillis != null && findLaggingHosts(revision).isEmpty()
    } catch (e: PlatformUnavailableException) {
        false
    }

    private fun findLaggingHosts(revision: Long): List<String> {
        val live = connection.statuses().filter { it.listed.state == HostState.LIVE }
        laggingHosts = live.filter { (it.report?.revision ?: 0) < revision }.map { it.listed.host.value }
        return laggingHosts
    }

    private fun report(revision: Long, exitCode: Int, sentence: String): Int {
        val answer =
            buildJsonObject {
                put("revision", revision)
                put("acceptedAfterMillis", acceptedAfterMillis)
                put(
                    "inForceAfterMillis",
                    if (exitCode == ExitCodes.OK &&
                        acceptedAfterMillis != null
                    ) {
                        elapsedMillis()
                    } else {
                        null
                    },
                )
            }
        parent.out.println(if (parent.json) answer.toString() else sentence)
        return exitCode
    }

    private fun elapsedMillis() = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    private companion object {
        const val MILLIS_PER_SECOND = 1000
        const val NANOS_PER_MILLI = 1_000_000
        const val POLL_MILLIS = 50L
    }
}
