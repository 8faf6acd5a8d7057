package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.retry.SilentConnectionDetector
import dev.cardamomlane.daemon.target.ConnectionState
import java.io.IOException
import java.util.concurrent.TimeoutException

/**
 * Watches one attempt for what no message tells: a silent connection, a primary that lost its term, a confirmation
 * that does not come, and a caller that does not read.
 */
internal class AttemptWatch(private val session: CallerSession, private val place: AttemptPlace) {
    private val services = session.services
    private val connection = place.connection
    val sentAtMillis: Long = services.timers.nowMillis()
    private var confirmingSinceMillis = 0L
    private var fullSinceMillis: Long? = null
    private val silence = SilentConnectionDetector(sentAtMillis)
    private var heardAtMillis = sentAtMillis
    private var ended = false

    fun onTick(nowMillis: Long, isConfirming: Boolean) {
        val fullSince = fullSinceMillis
        when {
            fullSince != null -> if (nowMillis - fullSince > services.settings.stallTimeoutMillis) dropCaller()
            place.onPrimary && session.group.view().term > place.term ->
                connection.abort(IOException("the target lost its term"))
            isConfirming -> if (nowMillis - confirmingSinceMillis > confirmLimitMillis()) {
                connection.abort(TimeoutException("no confirmation came"))
            }
            else -> watchSilence(nowMillis)
        }
    }

    fun onConfirming() {
        confirmingSinceMillis = services.timers.nowMillis()
    }

    fun onCallerFull() {
        if (ended || fullSinceMillis != null) return
        fullSinceMillis = services.timers.nowMillis()
        connection.pauseReads()
    }

    fun onCallerWritable() {
        if (fullSinceMillis == null) return
        fullSinceMillis = null
        connection.resumeReads()
    }

    /** The connection goes to others, so that this caller must not stop its reads any more. */
    fun onEnd() {
        onCallerWritable()
        ended = true
    }

    private fun confirmLimitMillis(): Long = services.settings.confirmTimeoutMillis + CONFIRM_SLACK_MILLIS

    private fun dropCaller() {
        connection.abort(TimeoutException("the caller does not read"))
        session.link.abort()
    }

    /** Asks on a new connection whether the target still works on this one. */
    private fun watchSilence(nowMillis: Long) {
        noteHeard()
        if (!silence.startProbeIfDue(nowMillis)) return
        services.probe.check(place.lane.target, connection.processId).subscribe { state -> onProbed(state) }
    }

    private fun noteHeard() {
        if (connection.lastActivityMillis <= heardAtMillis) return
        heardAtMillis = connection.lastActivityMillis
        silence.onReceived(heardAtMillis)
    }

    private fun onProbed(state: ConnectionState) {
        noteHeard()
        val works = state == ConnectionState.ACTIVE
        val isSilent = silence.onProbeResult(works, services.timers.nowMillis())
        if (isSilent && !ended) connection.abort(IOException("the connection is silent (${state.name.lowercase()})"))
    }

    private companion object {
        const val CONFIRM_SLACK_MILLIS = 500L
    }
}
