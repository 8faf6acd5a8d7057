package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId

/** A message between two members about one customer's share. */
public sealed interface ShareMessage {
    public val customer: CustomerId

    /**
     * A borrower asks a holder for tokens and for its earlier loan to be renewed.
     *
     * @property requestId names the ask; the borrower counts the term of the loan from the sending of this ask
     * @property tokens how many tokens the borrower lacks
     * @property loanSequence the sequence of the loan that the borrower has from this holder, or 0
     * @property remaining how many tokens of that loan the borrower may still hold; it has given up the rest of it
     */
    public data class LoanRequest(
        override val customer: CustomerId,
        val requestId: Long,
        val tokens: Double,
        val loanSequence: Long,
        val remaining: Double,
    ) : ShareMessage

    /**
     * A holder lends tokens together with the burst that they fill. The loan replaces its earlier one.
     *
     * @property sequence rises with every loan of the holder
     * @property burst the burst lent in all, which the holder does not use until the loan ends
     * @property tokens tokens taken from the holder's bucket by this message, within the burst lent
     * @property lenderHolding the holder's whole share, which the borrower checks against the shares it knows
     * @property retryAfterMillis when the holder expects to have a token to lend
     */
    public data class LoanGrant(
        override val customer: CustomerId,
        val requestId: Long,
        val sequence: Long,
        val burst: Double,
        val tokens: Double,
        val termMillis: Long,
        val lenderHolding: Allowance,
        val retryAfterMillis: Long,
    ) : ShareMessage

    /**
     * A borrower gives a loan back before its term ends.
     *
     * @property sequence the loan's sequence; the holder ignores the return of a loan that a later one replaced
     * @property tokens unused tokens that go back with the loan
     */
    public data class LoanReturn(override val customer: CustomerId, val sequence: Long, val tokens: Double) :
        ShareMessage
}
