package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.retry.SilentConnectionDetector
import dev.cardamomlane.daemon.target.ConnectionState
import java.io.IOException
import java.util.concurrent.TimeoutException

/**
 * Ends an attempt for reasons that no message on its connection reports: the connection is silent, the primary has lost
 * its term, a write is not confirmed in time, or the caller does not read its answer.
 *
 * It ends the attempt by aborting the target connection. Timeouts are checked in [onTick].
 */
internal class AttemptMonitor(private val session: CallerSession, private val place: AttemptPlace) {
    private val services = session.services
    private val connection = place.connection
    val sentAtMillis: Long = services.timers.nowMillis()
    private var confirmingSinceMillis = 0L
    private var blockedSinceMillis: Long? = null
    private val silenceDetector = SilentConnectionDetector(sentAtMillis)
    private var lastReceivedAtMillis = sentAtMillis
    private var ended = false

    /** Checks the timeouts. To be called every few dozen milliseconds while the attempt runs. */
    fun onTick(nowMillis: Long, isConfirming: Boolean) {
        val blockedSince = blockedSinceMillis
        when {
            blockedSince != null -> if (nowMillis - blockedSince > services.settings.stallTimeoutMillis) abortCaller()
            place.onPrimary && session.group.view().term > place.term ->
                connection.abort(IOException("the term of the target as primary has ended"))
            isConfirming -> if (nowMillis - confirmingSinceMillis > confirmLimitMillis()) {
                connection.abort(TimeoutException("the write was not confirmed in time"))
            }
            else -> probeIfSilent(nowMillis)
        }
    }

    /** The unit has ended on the target; from now on only the confirmation of its write is awaited. */
    fun onConfirming() {
        confirmingSinceMillis = services.timers.nowMillis()
    }

    /** The caller reads too slowly. Pauses reads from the target until [onCallerWritable]. */
    fun onCallerUnwritable() {
        if (ended || blockedSinceMillis != null) return
        blockedSinceMillis = services.timers.nowMillis()
        connection.pauseReads()
    }

    fun onCallerWritable() {
        if (blockedSinceMillis == null) return
        blockedSinceMillis = null
        connection.resumeReads()
    }

    /** Resumes reads. The connection may serve other callers from now on, so this one must not pause reads again. */
    fun onEnd() {
        onCallerWritable()
        ended = true
    }

    private fun confirmLimitMillis(): Long = services.settings.confirmTimeoutMillis + CONFIRM_SLACK_MILLIS

    private fun abortCaller() {
        connection.abort(TimeoutException("the caller did not read its answer in time"))
        session.link.abort()
    }

    /** After a time of silence, asks the target over a new connection whether it still works on this one. */
    private fun probeIfSilent(nowMillis: Long) {
        updateLastReceived()
        if (!silenceDetector.startProbeIfDue(nowMillis)) return
        services.probe.check(place.dispatcher.target, connection.processId).subscribe { state ->
            onConnectionState(state)
        }
    }

    private fun updateLastReceived() {
        if (connection.lastActivityMillis <= lastReceivedAtMillis) return
        lastReceivedAtMillis = connection.lastActivityMillis
        silenceDetector.onReceived(lastReceivedAtMillis)
    }

    private fun onConnectionState(state: ConnectionState) {
        updateLastReceived()
        val isWorking = state == ConnectionState.ACTIVE
        val isSilent = silenceDetector.onProbeResult(isWorking, services.timers.nowMillis())
        if (isSilent && !ended) connection.abort(IOException("the connection is silent (${state.name.lowercase()})"))
    }

    private companion object {
        /** How much longer than `confirmTimeoutMillis`, which the target itself applies, its answer is awaited. */
        const val CONFIRM_SLACK_MILLIS = 500L
    }
}
