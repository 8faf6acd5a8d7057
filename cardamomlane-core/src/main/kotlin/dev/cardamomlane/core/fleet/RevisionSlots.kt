package dev.cardamomlane.core.fleet

/** The revisions that this host knows of and the contents that it holds. Revisions only go up. */
internal class RevisionSlots {
    private val contents = HashMap<Long, Configuration>().apply { put(0, Configuration.EMPTY) }

    var head: RevisionHead? = null
        private set

    /** The highest revision whose content this host held together with that of the revision in force. */
    var confirmedRevision: Long = 0
        private set

    /** The accepted revision's content, or null while it is not here. */
    val accepted: Configuration? get() = head?.let { contents[it.accepted] }

    /** The content of the proposed revision, or null. */
    val proposed: Configuration? get() = head?.proposed?.let { contents[it] }

    /** The revisions whose contents are missing. */
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
