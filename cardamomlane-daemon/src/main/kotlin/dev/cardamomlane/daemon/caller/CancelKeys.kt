package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.HostId
import java.security.SecureRandom

/**
 * The numbers that name this host's sessions in cancel requests.
 *
 * The upper bits of the process id are a hash of the host's name, so that another host can tell whom to pass a request
 * to.
 */
internal class CancelKeys(host: HostId) {
    private val random = SecureRandom()
    private val prefix = hostCode(host) shl SEQUENCE_BITS
    private val sessions = HashMap<Int, Entry>()
    private var lastSequence = 0

    /** Names [session] and returns its secret. [remove] forgets it. */
    fun add(session: CallerSession): CancelKey {
        do {
            lastSequence = (lastSequence + 1) and SEQUENCE_MASK
        } while (prefix or lastSequence in sessions)
        val key = CancelKey(prefix or lastSequence, random.nextInt())
        sessions[key.processId] = Entry(session, key.secretKey)
        return key
    }

    fun remove(key: CancelKey) {
        sessions.remove(key.processId)
    }

    /** Cancels what runs in the session that the numbers name. Returns false if it isn't a session of this host. */
    fun cancel(processId: Int, secretKey: Int): Boolean {
        val entry = sessions[processId] ?: return false
        if (entry.secretKey == secretKey) entry.session.cancelRunning()
        return true
    }

    private class Entry(val session: CallerSession, val secretKey: Int)

    companion object {
        private const val SEQUENCE_BITS = 20
        private const val SEQUENCE_MASK = (1 shl SEQUENCE_BITS) - 1
        private const val HOST_MASK = 0x7ff

        /** The number under which cancel requests name [host]. Two hosts may share one. */
        fun hostCode(host: HostId): Int = host.value.hashCode() and HOST_MASK

        fun hostCodeOf(processId: Int): Int = processId ushr SEQUENCE_BITS
    }
}
