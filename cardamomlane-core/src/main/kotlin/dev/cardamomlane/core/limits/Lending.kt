package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId
import kotlin.math.ceil
import kotlin.math.floor

/**
 * The holder's side of loans. Lends whole tokens only, since parts of a token on several hosts admit nothing.
 */
internal class Lending(private val self: MemberId, private val outbox: ShareOutbox, private val terms: LoanTerms) {
    private var lastSequence = 0L

    /** Lends what the bucket has, up to what is asked, and renews what [from] still holds of its earlier loan. */
    fun onAsk(from: MemberId, ask: ShareMessage.LoanRequest, bucket: CustomerBucket, nowMillis: Long) {
        if (from == self) return
        val held = stillHeld(bucket.made[from], ask)
        val tokens = floor(minOf(bucket.levelTokens, ceil(ask.tokens)))
        val sequence = ++lastSequence
        bucket.take(tokens)
        bucket.made.remove(from)
        if (held + tokens > 0) {
            val endsAtMillis = nowMillis + terms.holderTermMillis(terms.termMillis)
            bucket.made[from] = MadeLoan(sequence, held + tokens, endsAtMillis)
        }
        bucket.refresh()
        outbox.send(from, answer(ask, sequence, held + tokens, tokens, bucket))
    }

    /** Takes a loan back early, unless a later loan replaced it or its term has ended. */
    fun onReturn(from: MemberId, message: ShareMessage.LoanReturn, bucket: CustomerBucket) {
        val loan = bucket.made[from] ?: return
        if (loan.sequence != message.sequence) return
        bucket.made.remove(from)
        bucket.refresh()
        bucket.put(minOf(message.tokens, loan.burst))
    }

    /** What the borrower may still hold; its word counts only when it speaks of the latest loan. */
    private fun stillHeld(loan: MadeLoan?, ask: ShareMessage.LoanRequest): Double = when {
        loan == null -> 0.0
        loan.sequence == ask.loanSequence -> minOf(loan.burst, ask.remaining)
        else -> loan.burst
    }

    private fun answer(
        ask: ShareMessage.LoanRequest,
        sequence: Long,
        burst: Double,
        tokens: Double,
        bucket: CustomerBucket,
    ) = ShareMessage.LoanGrant(
        customer = ask.customer,
        requestId = ask.requestId,
        sequence = sequence,
        burst = burst,
        tokens = tokens,
        termMillis = terms.termMillis,
        lenderHolding = bucket.holding,
        retryAfterMillis = bucket.millisToToken() ?: terms.termMillis,
    )
}
