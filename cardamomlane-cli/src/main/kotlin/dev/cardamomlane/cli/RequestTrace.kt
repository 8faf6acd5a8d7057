package dev.cardamomlane.cli

/**
 * What the logs of all hosts tell of one request: its own lines, and what its hosts and its group went through around it.
 *
 * A line belongs to the story when it tells of the request; when a host that served the request tells of its group, of a
 * target that it met, or of the host as a whole; or when another host tells of a takeover of the group or of a target that
 * can't be reached. Lines on other requests never do. Hosts' clocks may differ, so the order between hosts is only as good
 * as their clocks.
 */
internal class RequestTrace private constructor(val lines: List<LogLine>) {
    companion object {
        private val partsOfAnyHost = setOf("takeover", "target")
        private val partsOfServingHosts = setOf("host", "settings", "store", "configuration", "fleet", "targets", "log")

        /**
         * Tells the story of [id] from [lines] in any order.
         *
         * @param beforeMillis how long before the first line of the request the story starts
         * @param afterMillis how long after its last line the story ends
         * @return null when no line tells of the request
         */
        fun of(id: String, lines: Sequence<LogLine>, beforeMillis: Long, afterMillis: Long): RequestTrace? {
            require(beforeMillis >= 0) { "beforeMillis must not be negative but was $beforeMillis" }
            require(afterMillis >= 0) { "afterMillis must not be negative but was $afterMillis" }
            val candidates = lines.filter { it.id == id || !it.isAboutRequest }.toList()
            val requestLines = candidates.filter { it.id == id }
            if (requestLines.isEmpty()) return null
            val servingHosts = requestLines.mapTo(HashSet()) { it.host }
            val groups = requestLines.mapNotNullTo(HashSet()) { it.fields["group"] }
            val targets = requestLines.mapNotNullTo(HashSet()) { it.fields["target"] }
            val window =
                requestLines.minOf { it.atMillis } - beforeMillis..requestLines.maxOf { it.atMillis } + afterMillis
            val contextLines = candidates.filter { line ->
                val isInvolved = line.fields["group"] in groups || line.fields["target"] in targets
                val isFromServingHost = line.host in servingHosts && (isInvolved || line.part in partsOfServingHosts)
                val isFromAnyHost = isInvolved && line.part in partsOfAnyHost
                !line.isAboutRequest && line.atMillis in window && (isFromServingHost || isFromAnyHost)
            }
            return RequestTrace((requestLines + contextLines).sortedBy { it.atMillis })
        }
    }
}
