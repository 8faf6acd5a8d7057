package dev.cardamomlane.core.failover

/** The result of a [FailoverAction.ClaimTerm]. */
public sealed interface ClaimOutcome {
    /** The platform's row names this claimant for the claimed term. */
    public data object Won : ClaimOutcome

    /** The platform's row names another claimant for the claimed term or a later one; [term] is the row's term. */
    public data class Lost(val term: Long) : ClaimOutcome

    /** The platform did not answer; the claim may have taken effect. */
    public data object Unknown : ClaimOutcome
}
