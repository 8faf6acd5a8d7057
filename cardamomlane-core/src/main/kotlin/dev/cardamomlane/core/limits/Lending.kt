package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** The holder's side of loans: lends what the host's own demand leaves free. */
internal class Lending(private val self: MemberId, private val outbox: ShareOutbox, private val terms: LoanTerms) {
    private var lastSequence = 0L

    /** Lends part of what is free and renews what [from] has already borrowed. */
    fun onAsk(from: MemberId, ask: ShareMessage.Ask, bucket: CustomerBucket, nowMillis: Long) {
        if (from == self || bucket.holding == Allowance.NONE) return
        if (needsItself(bucket, nowMillis)) {
            outbox.send(from, answer(ask, lastSequence, Allowance.NONE, tokens = 0.0, bucket))
            return
        }
        val earlier = bucket.made[from]?.allowance ?: Allowance.NONE
        val part = lentPart(ask, bucket, nowMillis)
        val added = bucket.free().scaled(part)
        val tokens = minOf(bucket.levelTokens, added.burst, ask.tokens)
        val loan = Allowance(earlier.ratePerSecond + added.ratePerSecond, earlier.burst + added.burst)
        val sequence = ++lastSequence
        bucket.take(tokens)
        if (loan == Allowance.NONE) {
            bucket.made.remove(from)
        } else {
            bucket.made[from] = MadeLoan(sequence, loan, nowMillis + terms.holderTermMillis(terms.termMillis))
        }
        bucket.refresh()
        outbox.send(from, answer(ask, sequence, loan, tokens, bucket))
    }

    /** Takes a loan back early, unless a later loan replaced it or its term has ended. */
    fun onReturn(from: MemberId, message: ShareMessage.Return, bucket: CustomerBucket) {
        val loan = bucket.made[from] ?: return
        if (loan.sequence != message.sequence) return
        bucket.made.remove(from)
        bucket.refresh()
        bucket.put(minOf(message.tokens, loan.allowance.burst))
    }

    /** True when the loans made leave too little for this host's own requests; they run out then, unrenewed. */
    private fun needsItself(bucket: CustomerBucket, nowMillis: Long): Boolean =
        bucket.made.isNotEmpty() && bucket.levelTokens < 1 &&
            bucket.demand.perSecond(nowMillis) > maxOf(OWN_DEMAND_PER_SECOND, bucket.free().ratePerSecond)

    private fun lentPart(ask: ShareMessage.Ask, bucket: CustomerBucket, nowMillis: Long): Double {
        val free = bucket.free()
        if (free.burst <= 0) return 0.0
        val ownDemand = bucket.demand.perSecond(nowMillis)
        val mostPart = ask.demandPerSecond / (ask.demandPerSecond + ownDemand + TINY_DEMAND_PER_SECOND)
        val ratePart = if (free.ratePerSecond > 0) ask.ratePerSecond / free.ratePerSecond else 0.0
        return maxOf(ask.tokens / free.burst, ratePart).coerceIn(0.0, mostPart)
    }

    private fun answer(
        ask: ShareMessage.Ask,
        sequence: Long,
        loan: Allowance,
        tokens: Double,
        bucket: CustomerBucket,
    ) = ShareMessage.Lend(
        customer = ask.customer,
        askId = ask.askId,
        sequence = sequence,
        loan = loan,
        tokens = tokens,
        termMillis = terms.termMillis,
        lenderHolding = bucket.holding,
        retryAfterMillis = bucket.millisToToken() ?: terms.termMillis,
    )

    private companion object {
        const val OWN_DEMAND_PER_SECOND = 0.5
        const val TINY_DEMAND_PER_SECOND = 1e-6
    }
}
