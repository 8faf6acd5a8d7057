package dev.cardamomlane.daemon.caller

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
    private var nextProbeMillis = sentAtMillis + SILENCE_MILLIS
    private var isProbing = false
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
            nowMillis - connection.lastHeardMillis > SILENCE_MILLIS -> probe(nowMillis)
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
        session.link.close()
    }

    /** Asks on a new connection whether the target still works on this one. */
    private fun probe(nowMillis: Long) {
        if (isProbing || nowMillis < nextProbeMillis) return
        isProbing = true
        services.probe.check(place.lane.target, connection.processId).subscribe { state -> onProbed(state) }
    }

    private fun onProbed(state: ConnectionState) {
        isProbing = false
        nextProbeMillis = services.timers.nowMillis() + SILENCE_MILLIS
        if (ended || state == ConnectionState.ACTIVE) return
        val heardMeanwhile = services.timers.nowMillis() - connection.lastHeardMillis < SILENCE_MILLIS
        if (!heardMeanwhile) connection.abort(IOException("the connection is silent (${state.name.lowercase()})"))
    }

    private companion object {
        const val SILENCE_MILLIS = 1_000L
        const val CONFIRM_SLACK_MILLIS = 500L
    }
}
