package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.HostId
import java.security.SecureRandom

/**
 * The cancel keys of this host's sessions.
 *
 * The upper bits of a process id are a hash of the host's name, so that another host can tell which host to forward a
 * cancel request to.
 */
internal class CancelKeys(host: HostId) {
    private val random = SecureRandom()
    private val prefix = hostCode(host) shl SEQUENCE_BITS
    private val sessions = HashMap<Int, Entry>()
    private var lastSequence = 0

    /** Creates the key of [session], which is valid until [remove]. */
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

    /**
     * Cancels what runs in the session with [processId], if [secretKey] is right.
     *
     * Returns false if no session of this host has [processId].
     */
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

        /** The hash of [host] in the process ids of its sessions. Two hosts may have the same one. */
        fun hostCode(host: HostId): Int = host.value.hashCode() and HOST_MASK

        fun hostCodeOf(processId: Int): Int = processId ushr SEQUENCE_BITS
    }
}
