package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId
import kotlin.math.ceil
import kotlin.math.floor

/**
 * The holder's side of loans of share. Lends only whole tokens, since fractions of a token on several hosts admit no
 * request.
 */
internal class Lending(private val self: MemberId, private val outbox: ShareOutbox, private val terms: LoanTerms) {
    private var lastSequence = 0L

    /**
     * Lends the whole tokens in the bucket, up to the number requested, and renews what [from] may still hold of its
     * earlier loan.
     */
    fun onLoanRequest(from: MemberId, request: ShareMessage.LoanRequest, bucket: CustomerBucket, nowMillis: Long) {
        if (from == self) return
        val outstanding = outstandingBurst(bucket.lent[from], request)
        val tokens = floor(minOf(bucket.levelTokens, ceil(request.tokens)))
        val sequence = ++lastSequence
        bucket.take(tokens)
        bucket.lent.remove(from)
        if (outstanding + tokens > 0) {
            val endsAtMillis = nowMillis + terms.holderTermMillis(terms.termMillis)
            bucket.lent[from] = LentLoan(sequence, outstanding + tokens, endsAtMillis)
        }
        bucket.updateCapacity()
        outbox.send(from, grant(request, sequence, outstanding + tokens, tokens, bucket))
    }

    /** Ends a loan early. Does nothing if a later loan replaced it or its term has ended. */
    fun onLoanReturn(from: MemberId, message: ShareMessage.LoanReturn, bucket: CustomerBucket) {
        val loan = bucket.lent[from] ?: return
        if (loan.sequence != message.sequence) return
        bucket.lent.remove(from)
        bucket.updateCapacity()
        bucket.addTokens(minOf(message.tokens, loan.burst))
    }

    /** The burst that the borrower may still hold. What it reports counts only if it refers to the latest loan. */
    private fun outstandingBurst(loan: LentLoan?, request: ShareMessage.LoanRequest): Double = when {
        loan == null -> 0.0
        loan.sequence == request.loanSequence -> minOf(loan.burst, request.remaining)
        else -> loan.burst
    }

    private fun grant(
        request: ShareMessage.LoanRequest,
        sequence: Long,
        burst: Double,
        tokens: Double,
        bucket: CustomerBucket,
    ) = ShareMessage.LoanGrant(
        customer = request.customer,
        requestId = request.requestId,
        sequence = sequence,
        burst = burst,
        tokens = tokens,
        termMillis = terms.termMillis,
        lenderHolding = bucket.holding,
        retryAfterMillis = bucket.millisToToken() ?: terms.termMillis,
    )
}
