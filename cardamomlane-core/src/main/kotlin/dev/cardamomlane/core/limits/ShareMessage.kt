package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId

/** A message between two members about one customer's share. */
public sealed interface ShareMessage {
    public val customer: CustomerId

    /**
     * A borrower asks a holder for share, and for its earlier loan to be renewed.
     *
     * @property askId names the ask; the borrower counts the term of the loan from the sending of this ask
     * @property tokens how many tokens the borrower lacks
     * @property ratePerSecond how much rate the borrower lacks
     * @property demandPerSecond the rate at which requests arrive at the borrower
     */
    public data class Ask(
        override val customer: CustomerId,
        val askId: Long,
        val tokens: Double,
        val ratePerSecond: Double,
        val demandPerSecond: Double,
    ) : ShareMessage

    /**
     * A holder lends share. The loan replaces every earlier loan of this holder to this borrower.
     *
     * @property sequence rises with every loan and return that the holder answers
     * @property loan rate and burst that the borrower may use, which the holder no longer uses
     * @property tokens tokens taken from the holder's bucket by this message, within the burst lent
     * @property lenderHolding the holder's whole share, which the borrower checks against the bases it knows
     * @property retryAfterMillis when the holder expects to have a token to lend
     */
    public data class Lend(
        override val customer: CustomerId,
        val askId: Long,
        val sequence: Long,
        val loan: Allowance,
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
    public data class Return(override val customer: CustomerId, val sequence: Long, val tokens: Double) : ShareMessage
}
