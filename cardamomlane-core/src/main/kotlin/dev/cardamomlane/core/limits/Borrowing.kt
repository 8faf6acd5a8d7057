package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * The borrower's side of loans.
 *
 * A host with a request now and then borrows one token for it. A host with steady demand borrows ahead, as much as a
 * small part of the customer's burst lasts, and asks again before it runs out.
 */
internal class Borrowing(private val self: MemberId, private val outbox: ShareOutbox, private val terms: LoanTerms) {
    private var lastAskId = 0L

    /** Asks one holder for what the next requests need, when the bucket can't admit one. */
    fun askForTokens(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        bucket.asks.expire(terms.askTimeoutMillis, nowMillis)
        if (bucket.asks.isWaiting) return
        val holder = bucket.asks.next(table.holders(customer).filter { it != self }, nowMillis) ?: return
        val wanted = maxOf(1.0, aheadTokens(customer, bucket, table, nowMillis)) - bucket.levelTokens
        val loan = bucket.taken[holder]
        val remaining = minOf(bucket.levelTokens, loan?.burst ?: 0.0)
        if (loan != null) {
            bucket.taken[holder] = TakenLoan(loan.sequence, remaining, loan.endsAtMillis, loan.lenderHolding)
            bucket.refresh()
        }
        val ask = ShareMessage.LoanRequest(customer, ++lastAskId, maxOf(0.0, wanted), loan?.sequence ?: 0, remaining)
        bucket.asks.sent(holder, ask.requestId, nowMillis)
        outbox.send(holder, ask)
    }

    /** After one request: asks ahead while demand is steady, else gives the loan back. */
    fun afterUse(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        val ahead = aheadTokens(customer, bucket, table, nowMillis)
        if (ahead < 1) {
            returnLoans(customer, bucket)
        } else if (bucket.levelTokens < ahead * LOW_WATER_PART) {
            askForTokens(customer, bucket, table, nowMillis)
        }
    }

    fun onLend(
        from: MemberId,
        lend: ShareMessage.LoanGrant,
        bucket: CustomerBucket,
        table: ShareTable,
        nowMillis: Long,
    ) {
        val ask = bucket.asks.answered(from, lend.requestId) ?: return
        bucket.asks.brought(from, lend.tokens, lend.retryAfterMillis, nowMillis)
        val endsAtMillis = ask.sentAtMillis + lend.termMillis
        val isCurrent = table.holding(from, lend.customer).covers(lend.lenderHolding)
        if (nowMillis < endsAtMillis && isCurrent && lend.burst > 0) {
            bucket.taken[from] = TakenLoan(lend.sequence, lend.burst, endsAtMillis, lend.lenderHolding)
            bucket.refresh()
            bucket.put(lend.tokens)
        }
        if (bucket.levelTokens < 1) askForTokens(lend.customer, bucket, table, nowMillis)
    }

    /** Ends loans of holders whose share is now smaller than it was when they lent. */
    fun dropShrunk(customer: CustomerId, bucket: CustomerBucket, table: ShareTable) {
        val dropped = bucket.taken.entries.removeIf { (lender, loan) ->
            !table.holding(lender, customer).covers(loan.lenderHolding)
        }
        if (dropped) bucket.refresh()
    }

    /** Gives back what an idle host holds, and what would end unused. */
    fun tick(customer: CustomerId, bucket: CustomerBucket, nowMillis: Long) {
        bucket.asks.expire(terms.askTimeoutMillis, nowMillis)
        if (bucket.taken.isEmpty() || bucket.asks.isWaiting) return
        val isIdle = bucket.demand.idleMillis(nowMillis) >= IDLE_MILLIS
        val isEnding = bucket.taken.values.any { it.endsAtMillis - nowMillis <= ENDING_MILLIS }
        if (isIdle || isEnding) returnLoans(customer, bucket)
    }

    fun returnLoans(customer: CustomerId, bucket: CustomerBucket) {
        for ((lender, loan) in bucket.taken.toMap()) {
            if (lender in bucket.asks) continue
            bucket.taken.remove(lender)
            val levelBefore = bucket.levelTokens
            bucket.refresh()
            val tokens = minOf(levelBefore - bucket.levelTokens, loan.burst)
            outbox.send(lender, ShareMessage.LoanReturn(customer, loan.sequence, tokens))
        }
    }

    /** How many tokens a host with this demand holds ahead of use. */
    private fun aheadTokens(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long): Double {
        val share = table.share(customer)
        if (share.ratePerSecond <= 0) return 0.0
        val burstSeconds = share.burst / share.ratePerSecond
        return bucket.demand.perSecond(nowMillis) * minOf(MAX_AHEAD_SECONDS, burstSeconds * AHEAD_PART)
    }

    private companion object {
        const val AHEAD_PART = 0.125
        const val MAX_AHEAD_SECONDS = 0.5
        const val LOW_WATER_PART = 0.3
        const val IDLE_MILLIS = 250L
        const val ENDING_MILLIS = 300L
    }
}
