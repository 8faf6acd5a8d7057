package dev.cardamomlane.store

/** Why a draft did not become a proposal. Nothing was written. */
public sealed interface ProposalRefusal {
    /** The draft is not based on the accepted revision, which [head] names. */
    public data class OutdatedBase(val head: ConfigurationHead) : ProposalRefusal

    /** The hosts are still confirming the proposal [number]. */
    public data class PendingProposal(val number: Long) : ProposalRefusal

    /** The draft needs [bytes] bytes, more than [ConfigurationStore.MAX_VALUE_BYTES]. */
    public data class TooLarge(val bytes: Int) : ProposalRefusal
}
