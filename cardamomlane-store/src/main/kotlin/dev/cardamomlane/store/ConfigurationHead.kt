package dev.cardamomlane.store

/**
 * Which revisions stand at the head of the configuration.
 *
 * @property accepted the revision in force, or 0 before the first
 * @property proposed the revision that the fleet is confirming, or null when there is none
 */
public data class ConfigurationHead(val accepted: Long, val proposed: Long?) {
    init {
        require(accepted >= 0) { "accepted must not be negative but was $accepted" }
        require(proposed == null || proposed > accepted) { "proposed $proposed must be above accepted $accepted" }
    }

    /** The number of the next proposal. Numbers are never used twice, also when a proposal is superseded. */
    val next: Long get() = maxOf(accepted, proposed ?: 0) + 1
}
