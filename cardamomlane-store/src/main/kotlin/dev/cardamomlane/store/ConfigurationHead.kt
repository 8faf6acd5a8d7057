package dev.cardamomlane.store

import dev.cardamomlane.core.SequenceNumbers

/**
 * Which revision of the configuration is in force and which one is proposed.
 *
 * @property accepted the revision in force, or 0 before the first
 * @property proposed the revision that the hosts are confirming, or null when there is none
 */
public data class ConfigurationHead(val accepted: Long, val proposed: Long?) {
    init {
        SequenceNumbers.requireValid("accepted", accepted)
        proposed?.let { SequenceNumbers.requireValid("proposed", it) }
        require(proposed == null || proposed > accepted) { "proposed $proposed must be above accepted $accepted" }
    }

    /** The number of the next proposal. A number is never reused, not even that of a superseded proposal. */
    val next: Long get() = maxOf(accepted, proposed ?: 0) + 1
}
