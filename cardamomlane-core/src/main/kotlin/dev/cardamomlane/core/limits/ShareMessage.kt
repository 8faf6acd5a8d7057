package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId

/** A message between two members about a loan of one customer's share. */
public sealed interface ShareMessage {
    public val customer: CustomerId

    /**
     * A borrower asks a holder for tokens and for renewal of its earlier loan.
     *
     * @property requestId identifies the request; the borrower counts the term of the loan from the time it sent it
     * @property tokens the number of tokens that the borrower lacks
     * @property loanSequence the sequence of the loan that the borrower has from this holder, or 0
     * @property remaining the burst of that loan that the borrower may still use; it has given up the rest
     */
    public data class LoanRequest(
        override val customer: CustomerId,
        val requestId: Long,
        val tokens: Double,
        val loanSequence: Long,
        val remaining: Double,
    ) : ShareMessage

    /**
     * A holder lends tokens together with the burst that they fill. The loan replaces its earlier loan to the borrower.
     *
     * @property requestId the request that this message answers
     * @property sequence increases with every loan of the holder
     * @property burst the total burst lent, which the holder does not use until the loan ends
     * @property tokens the tokens taken from the holder's bucket for this loan, at most [burst]
     * @property termMillis the term of the loan at the borrower
     * @property lenderHolding the holder's whole share, which the borrower compares with the shares it knows
     * @property retryAfterMillis how long until the holder expects to have a token to lend
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
     * A borrower returns a loan before its term ends.
     *
     * @property sequence the loan's sequence; the holder ignores the return of a loan that a later one replaced
     * @property tokens the unused tokens that are returned with the loan
     */
    public data class LoanReturn(override val customer: CustomerId, val sequence: Long, val tokens: Double) :
        ShareMessage
}
