package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * The borrower's side of loans of share.
 *
 * A host with occasional requests borrows one token at a time. A host with steady demand prefetches the tokens that it
 * expects to need for a short time, and sends the next loan request before they run out. The time is bounded by a
 * fraction of the time in which the customer's share refills its burst.
 */
internal class Borrowing(private val self: MemberId, private val outbox: ShareOutbox, private val terms: LoanTerms) {
    private var lastRequestId = 0L

    /**
     * Sends a loan request for the tokens that the next requests need to one holder. Does nothing while an answer is
     * awaited or when no holder may be asked yet.
     */
    fun requestTokens(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        bucket.loanRequests.expire(terms.requestTimeoutMillis, nowMillis)
        if (bucket.loanRequests.isWaiting) return
        val holder = bucket.loanRequests.nextHolder(table.holders(customer).filter { it != self }, nowMillis) ?: return
        val wanted = maxOf(1.0, prefetchTokens(customer, bucket, table, nowMillis)) - bucket.levelTokens
        val loan = bucket.borrowed[holder]
        val remaining = minOf(bucket.levelTokens, loan?.burst ?: 0.0)
        if (loan != null) {
            bucket.borrowed[holder] = BorrowedLoan(loan.sequence, remaining, loan.endsAtMillis, loan.lenderHolding)
            bucket.updateCapacity()
        }
        val request = ShareMessage.LoanRequest(
            customer,
            ++lastRequestId,
            maxOf(0.0, wanted),
            loan?.sequence ?: 0,
            remaining,
        )
        bucket.loanRequests.onSent(holder, request.requestId, nowMillis)
        outbox.send(holder, request)
    }

    /** Called after each admitted request: prefetches tokens if demand is steady, else returns the loans. */
    fun afterAdmission(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        val prefetch = prefetchTokens(customer, bucket, table, nowMillis)
        if (prefetch < 1) {
            returnLoans(customer, bucket)
        } else if (bucket.levelTokens < prefetch * LOW_WATER_FRACTION) {
            requestTokens(customer, bucket, table, nowMillis)
        }
    }

    /**
     * Applies the answer to a loan request. The loan is used only if its term, counted from the sending of the
     * request, has not ended and [table] doesn't show a smaller share of the lender than when it lent.
     */
    fun onLoanGrant(
        from: MemberId,
        grant: ShareMessage.LoanGrant,
        bucket: CustomerBucket,
        table: ShareTable,
        nowMillis: Long,
    ) {
        val request = bucket.loanRequests.takeAnswered(from, grant.requestId) ?: return
        bucket.loanRequests.onAnswer(from, grant.tokens, grant.retryAfterMillis, nowMillis)
        val endsAtMillis = request.sentAtMillis + grant.termMillis
        val isCurrent = table.holding(from, grant.customer).covers(grant.lenderHolding)
        if (nowMillis < endsAtMillis && isCurrent && grant.burst > 0) {
            bucket.borrowed[from] = BorrowedLoan(grant.sequence, grant.burst, endsAtMillis, grant.lenderHolding)
            bucket.updateCapacity()
            bucket.addTokens(grant.tokens)
        }
        if (bucket.levelTokens < 1) requestTokens(grant.customer, bucket, table, nowMillis)
    }

    /** Ends the loans from holders whose share is smaller than it was when they lent. */
    fun dropOutdatedLoans(customer: CustomerId, bucket: CustomerBucket, table: ShareTable) {
        val dropped = bucket.borrowed.entries.removeIf { (lender, loan) ->
            !table.holding(lender, customer).covers(loan.lenderHolding)
        }
        if (dropped) bucket.updateCapacity()
    }

    /** Returns loans when the customer has been idle here, or when a loan is about to end. */
    fun tick(customer: CustomerId, bucket: CustomerBucket, nowMillis: Long) {
        bucket.loanRequests.expire(terms.requestTimeoutMillis, nowMillis)
        if (bucket.borrowed.isEmpty() || bucket.loanRequests.isWaiting) return
        val isIdle = bucket.demand.idleMillis(nowMillis) >= IDLE_MILLIS
        val isEnding = bucket.borrowed.values.any { it.endsAtMillis - nowMillis <= ENDING_MILLIS }
        if (isIdle || isEnding) returnLoans(customer, bucket)
    }

    /** Returns every loan, with its unused tokens, except from lenders that still owe an answer to a loan request. */
    fun returnLoans(customer: CustomerId, bucket: CustomerBucket) {
        for ((lender, loan) in bucket.borrowed.toMap()) {
            if (lender in bucket.loanRequests) continue
            bucket.borrowed.remove(lender)
            val levelBefore = bucket.levelTokens
            bucket.updateCapacity()
            val tokens = minOf(levelBefore - bucket.levelTokens, loan.burst)
            outbox.send(lender, ShareMessage.LoanReturn(customer, loan.sequence, tokens))
        }
    }

    /** How many tokens this host should hold for the demand it measures, or 0 while no host has a share. */
    private fun prefetchTokens(
        customer: CustomerId,
        bucket: CustomerBucket,
        table: ShareTable,
        nowMillis: Long,
    ): Double {
        val share = table.share(customer)
        if (share.ratePerSecond <= 0) return 0.0
        val burstSeconds = share.burst / share.ratePerSecond
        return bucket.demand.perSecond(nowMillis) * minOf(MAX_PREFETCH_SECONDS, burstSeconds * PREFETCH_BURST_FRACTION)
    }

    private companion object {
        /** The prefetched time, as a fraction of the time in which a share refills its burst. */
        const val PREFETCH_BURST_FRACTION = 0.125
        const val MAX_PREFETCH_SECONDS = 0.5

        /** The fraction of the prefetched tokens below which more are requested. */
        const val LOW_WATER_FRACTION = 0.3
        const val IDLE_MILLIS = 250L

        /** The remaining term at which loans are returned. */
        const val ENDING_MILLIS = 300L
    }
}
