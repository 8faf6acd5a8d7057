package dev.cardamomlane.core.fleet

/**
 * Which revisions of the configuration there are.
 *
 * @property accepted the revision in force; it only rises
 * @property proposed the revision that is to be accepted next, or null. A later proposal may take its place
 */
public data class RevisionHead(val accepted: Long, val proposed: Long?) {
    init {
        require(proposed == null || proposed > accepted) { "proposed $proposed must be above accepted $accepted" }
    }

    /** The highest revision that is known here. */
    public val highest: Long get() = proposed ?: accepted

    /** The head that results from knowing both this and [other]. */
    public fun merge(other: RevisionHead): RevisionHead {
        val newAccepted = maxOf(accepted, other.accepted)
        val newHighest = maxOf(highest, other.highest)
        return RevisionHead(newAccepted, newHighest.takeIf { it > newAccepted })
    }

    /** The head before the first revision. */
    public companion object {
        /** Revision 0 is in force. */
        public val NONE: RevisionHead = RevisionHead(accepted = 0, proposed = null)
    }
}
