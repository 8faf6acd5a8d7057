package dev.cardamomlane.cli

/**
 * The log lines of all hosts about one request and about the events around it, ordered by time.
 *
 * A line belongs to the trace if it is about the request; if a host that served the request wrote it about the group of
 * the request, about a target that it used, or about the host as a whole; or if any host wrote it about a takeover of
 * that group or about whether such a target can be reached. Lines about other requests never belong to it. The order of
 * lines of different hosts is only as good as the agreement of the hosts' clocks.
 */
internal class RequestTrace private constructor(val lines: List<LogLine>) {
    companion object {
        /** Parts of the log that count from any host, if the line is about the group or a target. */
        private val fleetParts = setOf("takeover", "target")

        /** Parts that always count from a host that served the request. */
        private val hostParts = setOf("host", "settings", "store", "configuration", "fleet", "targets", "log")

        /**
         * Collects the trace of request [id] from [lines], which may come in any order.
         *
         * @param beforeMillis how long before the first line about the request the trace starts
         * @param afterMillis how long after the last line about the request the trace ends
         * @return null if no line is about the request
         */
        fun of(id: String, lines: Sequence<LogLine>, beforeMillis: Long, afterMillis: Long): RequestTrace? {
            require(beforeMillis >= 0) { "beforeMillis must not be negative but was $beforeMillis" }
            require(afterMillis >= 0) { "afterMillis must not be negative but was $afterMillis" }
            val candidates = lines.filter { it.id == id || !it.isAboutRequest }.toList()
            val own = candidates.filter { it.id == id }
            if (own.isEmpty()) return null
            val hosts = own.mapTo(HashSet()) { it.host }
            val groups = own.mapNotNullTo(HashSet()) { it.fields["group"] }
            val targets = own.mapNotNullTo(HashSet()) { it.fields["target"] }
            val span = own.minOf { it.atMillis } - beforeMillis..own.maxOf { it.atMillis } + afterMillis
            val contextLines = candidates.filter { line ->
                val isInvolved = line.fields["group"] in groups || line.fields["target"] in targets
                val isFromServingHost = line.host in hosts && (isInvolved || line.part in hostParts)
                val isFromAnyHost = isInvolved && line.part in fleetParts
                !line.isAboutRequest && line.atMillis in span && (isFromServingHost || isFromAnyHost)
            }
            return RequestTrace((own + contextLines).sortedBy { it.atMillis })
        }
    }
}
