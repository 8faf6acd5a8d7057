package dev.cardamomlane.core.failover

/** The answer of the platform to the claim of a term. */
public sealed interface ClaimOutcome {
    /** The row names this claimant for the term. */
    public data object Won : ClaimOutcome

    /** The row names another claimant, at [term] or beyond. */
    public data class Lost(val term: Long) : ClaimOutcome

    /** The platform did not answer; the claim may have taken effect. */
    public data object Unknown : ClaimOutcome
}
