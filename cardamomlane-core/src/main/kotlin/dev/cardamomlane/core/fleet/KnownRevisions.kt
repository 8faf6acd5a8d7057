package dev.cardamomlane.core.fleet

/** Holds the revisions that this host knows of and the contents that it has. Revisions never decrease. */
internal class KnownRevisions {
    private val contents = HashMap<Long, Configuration>().apply { put(0, Configuration.EMPTY) }

    var head: RevisionHead? = null
        private set

    /** The highest revision whose content this host had at the same time as that of the revision in force. */
    var confirmedRevision: Long = 0
        private set

    /** The content of the accepted revision, or null while this host does not have it. */
    val accepted: Configuration? get() = head?.let { contents[it.accepted] }

    /** The content of the proposed revision, or null if none is proposed or this host does not have it. */
    val proposed: Configuration? get() = head?.proposed?.let { contents[it] }

    /** The accepted and proposed revisions whose contents this host does not have. */
    val missing: List<Long> get() = listOfNotNull(head?.accepted, head?.proposed).filter { it !in contents }

    fun learn(newHead: RevisionHead) {
        head = head?.merge(newHead) ?: newHead
        update()
    }

    fun load(configuration: Configuration) {
        if (configuration.revision < (head?.accepted ?: 0)) return
        contents[configuration.revision] = configuration
        update()
    }

    private fun update() {
        val inForce = accepted ?: return
        contents.keys.removeIf { it < inForce.revision }
        confirmedRevision = maxOf(confirmedRevision, (proposed ?: inForce).revision)
    }
}
