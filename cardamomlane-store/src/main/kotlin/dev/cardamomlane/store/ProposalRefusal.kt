package dev.cardamomlane.store

/** Why a draft did not become a proposal. Nothing was written. */
public sealed interface ProposalRefusal {
    /** Another revision than the one the draft is based on is in force: [head] names it. */
    public data class OutdatedBase(val head: ConfigurationHead) : ProposalRefusal

    /** The fleet is still confirming [number]. */
    public data class PendingProposal(val number: Long) : ProposalRefusal

    /** The draft takes [bytes], more than a row holds. */
    public data class TooLarge(val bytes: Int) : ProposalRefusal
}
