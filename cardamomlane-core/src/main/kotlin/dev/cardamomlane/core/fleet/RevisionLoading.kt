package dev.cardamomlane.core.fleet

/** Decides when to fetch the contents of missing revisions, and repeats a fetch after [RETRY_MILLIS]. */
internal class RevisionLoading {
    private val requestedAtMillisByRevision = HashMap<Long, Long>()

    /** Returns the fetches that are due, from the member [from], or from the platform if that is null. */
    fun due(missing: List<Long>, from: MemberId?, nowMillis: Long): List<FleetAction> {
        if (missing.isEmpty()) {
            requestedAtMillisByRevision.clear()
            return emptyList()
        }
        val due = missing.filter { nowMillis - (requestedAtMillisByRevision[it] ?: Long.MIN_VALUE / 2) >= RETRY_MILLIS }
        due.forEach { requestedAtMillisByRevision[it] = nowMillis }
        return due.map { FleetAction.LoadRevision(it, from) }
    }

    private companion object {
        const val RETRY_MILLIS = 500L
    }
}
