package dev.cardamomlane.store

/** What became of [ConfigurationStore.accept]. */
public enum class AcceptOutcome {
    /** The revision is accepted, by this call or by another. */
    ACCEPTED,

    /** The revision is no longer in proposal and will not be accepted. */
    SUPERSEDED,
}
