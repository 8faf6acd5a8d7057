package dev.cardamomlane.core.fleet

/** Asks for missing contents, and again when they don't come. */
internal class RevisionLoading {
    private val askedMillis = HashMap<Long, Long>()

    fun due(missing: List<Long>, from: MemberId?, nowMillis: Long): List<FleetAction> {
        if (missing.isEmpty()) {
            askedMillis.clear()
            return emptyList()
        }
        val due = missing.filter { nowMillis - (askedMillis[it] ?: Long.MIN_VALUE / 2) >= RETRY_MILLIS }
        due.forEach { askedMillis[it] = nowMillis }
        return due.map { FleetAction.LoadRevision(it, from) }
    }

    private companion object {
        const val RETRY_MILLIS = 500L
    }
}
