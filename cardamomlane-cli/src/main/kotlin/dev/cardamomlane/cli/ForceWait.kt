package dev.cardamomlane.cli

import dev.cardamomlane.store.HostState
import dev.cardamomlane.store.PlatformUnavailableException
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Waits until a proposal is accepted and in force on every live host. */
internal class ForceWait(private val connection: Connection, private val parent: LaneCtl) {
    private val startNanos = System.nanoTime()
    private var acceptedMillis: Long? = null
    private var lagging: List<String> = emptyList()

    /** Prints what became of [revision] and returns the exit code. With no seconds to wait it returns at once. */
    fun until(revision: Long, waitSeconds: Long): Int {
        if (waitSeconds == 0L) return report(revision, ExitCodes.OK, "Revision $revision is proposed.")
        while (elapsedMillis() < waitSeconds * MILLIS_PER_SECOND) {
            if (isInForce(revision)) {
                val times = "accepted after $acceptedMillis ms, in force on every live host after ${elapsedMillis()} ms"
                return report(revision, ExitCodes.OK, "Revision $revision: $times.")
            }
            Thread.sleep(POLL_MILLIS)
        }
        val state = if (acceptedMillis ==
            null
        ) {
            "not accepted"
        } else {
            "accepted, but not in force on ${lagging.joinToString()}"
        }
        return report(revision, ExitCodes.NOT_IN_FORCE, "Revision $revision is $state after $waitSeconds s.")
    }

    private fun isInForce(revision: Long): Boolean = try {
        if (acceptedMillis == null && connection.head().accepted >= revision) acceptedMillis = elapsedMillis()
        acceptedMillis != null && laggingHosts(revision).isEmpty()
    } catch (e: PlatformUnavailableException) {
        false
    }

    private fun laggingHosts(revision: Long): List<String> {
        val live = connection.statuses().filter { it.listed.state == HostState.LIVE }
        lagging = live.filter { (it.report?.revision ?: 0) < revision }.map { it.listed.host.value }
        return lagging
    }

    private fun report(revision: Long, exitCode: Int, sentence: String): Int {
        val answer =
            buildJsonObject {
                put("revision", revision)
                put("acceptedAfterMillis", acceptedMillis)
                put(
                    "inForceAfterMillis",
                    if (exitCode == ExitCodes.OK &&
                        acceptedMillis != null
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
