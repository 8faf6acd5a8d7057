package dev.cardamomlane.store

/** The result of [ConfigurationStore.accept]. */
public enum class AcceptOutcome {
    /** The revision is accepted, by this call or by another. */
    ACCEPTED,

    /** The revision is not the current proposal and will not be accepted. */
    SUPERSEDED,
}
