package dev.cardamomlane.cli

/**
 * What the logs of all hosts tell of one request: its own lines, and what its hosts and its group went through around it.
 *
 * A line belongs to the story when it tells of the request; when a host that served the request tells of its group, of a
 * target that it met, or of the host as a whole; or when another host tells of a takeover of the group or of a target that
 * can't be reached. Lines on other requests never do. Hosts' clocks may differ, so the order between hosts is only as good
 * as their clocks.
 */
internal class RequestStory private constructor(val lines: List<LogLine>) {
    companion object {
        private val fleetParts = setOf("takeover", "target")
        private val hostParts = setOf("host", "settings", "store", "configuration", "fleet", "targets", "log")

        /**
         * Tells the story of [id] from [lines] in any order.
         *
         * @param beforeMillis how long before the first line of the request the story starts
         * @param afterMillis how long after its last line the story ends
         * @return null when no line tells of the request
         */
        fun of(id: String, lines: Sequence<LogLine>, beforeMillis: Long, afterMillis: Long): RequestStory? {
            require(beforeMillis >= 0) { "beforeMillis must not be negative but was $beforeMillis" }
            require(afterMillis >= 0) { "afterMillis must not be negative but was $afterMillis" }
            val kept = lines.filter { it.id == id || !it.isOnRequest }.toList()
            val own = kept.filter { it.id == id }
            if (own.isEmpty()) return null
            val hosts = own.mapTo(HashSet()) { it.host }
            val groups = own.mapNotNullTo(HashSet()) { it.fields["group"] }
            val targets = own.mapNotNullTo(HashSet()) { it.fields["target"] }
            val span = own.minOf { it.atMillis } - beforeMillis..own.maxOf { it.atMillis } + afterMillis
            val around = kept.filter { line ->
                val isMet = line.fields["group"] in groups || line.fields["target"] in targets
                val isFromHost = line.host in hosts && (isMet || line.part in hostParts)
                val isFromFleet = isMet && line.part in fleetParts
                !line.isOnRequest && line.atMillis in span && (isFromHost || isFromFleet)
            }
            return RequestStory((own + around).sortedBy { it.atMillis })
        }
    }
}
