package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.SequenceNumbers

/**
 * The newest revisions of the configuration.
 *
 * @property accepted the revision in force; never decreases
 * @property proposed the revision that is to be accepted next, or null. A later proposal may replace it
 */
public data class RevisionHead(val accepted: Long, val proposed: Long?) {
    init {
        SequenceNumbers.requireValid("accepted", accepted)
        proposed?.let { SequenceNumbers.requireValid("proposed", it) }
        require(proposed == null || proposed > accepted) { "proposed $proposed must be above accepted $accepted" }
    }

    /** The proposed revision, or the accepted one if none is proposed. */
    public val highest: Long get() = proposed ?: accepted

    /** Returns the head that follows from this and [other] together. */
    public fun merge(other: RevisionHead): RevisionHead {
        val newAccepted = maxOf(accepted, other.accepted)
        val newHighest = maxOf(highest, other.highest)
        return RevisionHead(newAccepted, newHighest.takeIf { it > newAccepted })
    }

    /** Contains [NONE]. */
    public companion object {
        /** The head before the first revision: revision 0 is in force. */
        public val NONE: RevisionHead = RevisionHead(accepted = 0, proposed = null)
    }
}
