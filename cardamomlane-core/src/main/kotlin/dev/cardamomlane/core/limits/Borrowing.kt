package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * The borrower's side of loans.
 *
 * A host with steady demand above its own rate keeps its loans and renews them before they end. A host with a request
 * now and then borrows for that request and gives the loan back with the unused tokens at once.
 */
internal class Borrowing(private val self: MemberId, private val outbox: ShareOutbox, private val terms: LoanTerms) {
    private var lastAskId = 0L

    /** Asks the holders for what the next requests need, when the bucket can't admit one. */
    fun askForTokens(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        bucket.asks.values.removeIf { nowMillis - it.sentAtMillis >= terms.askTimeoutMillis }
        if (nowMillis < bucket.pace.nextAtMillis || bucket.asks.isNotEmpty()) return
        askHolders(customer, bucket, table, nowMillis)
    }

    /** After one request: returns loans of a host with little demand, asks ahead on a host with much. */
    fun afterUse(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        val demand = bucket.demand.perSecond(nowMillis)
        if (demand < STEADY_PER_SECOND) {
            if (bucket.taken.isNotEmpty()) returnLoans(customer, bucket)
        } else if (bucket.levelTokens < demand * LOW_WATER_SECONDS) {
            askForTokens(customer, bucket, table, nowMillis)
        }
    }

    fun onLend(from: MemberId, lend: ShareMessage.Lend, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        val ask = bucket.asks[from] ?: return
        if (ask.askId != lend.askId) return
        bucket.asks.remove(from)
        val endsAtMillis = ask.sentAtMillis + lend.termMillis
        val isCurrent = table.holding(from, lend.customer).covers(lend.lenderHolding)
        if (nowMillis < endsAtMillis && isCurrent && lend.loan != Allowance.NONE) {
            bucket.taken[from] = TakenLoan(lend.sequence, lend.loan, endsAtMillis, lend.lenderHolding)
            bucket.refresh()
            bucket.put(lend.tokens)
            bucket.pace.answered(lend.tokens)
        }
        if (bucket.asks.isEmpty()) bucket.pace.finish(nowMillis, bucket.levelTokens >= 1, lend.retryAfterMillis)
    }

    /** Ends loans of holders whose share is now smaller than it was when they lent. */
    fun dropShrunk(customer: CustomerId, bucket: CustomerBucket, table: ShareTable) {
        val dropped = bucket.taken.entries.removeIf { (lender, loan) ->
            !table.holding(lender, customer).covers(loan.lenderHolding)
        }
        if (dropped) bucket.refresh()
    }

    fun tick(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        bucket.asks.values.removeIf { nowMillis - it.sentAtMillis >= terms.askTimeoutMillis }
        if (bucket.taken.isEmpty()) return
        if (bucket.demand.perSecond(nowMillis) < STEADY_PER_SECOND) return returnLoans(customer, bucket)
        val renewAtMillis = nowMillis + terms.termMillis / RENEW_PART
        if (bucket.taken.values.any { it.endsAtMillis <= renewAtMillis }) askHolders(customer, bucket, table, nowMillis)
    }

    fun returnLoans(customer: CustomerId, bucket: CustomerBucket) {
        for ((lender, loan) in bucket.taken.toMap()) {
            bucket.taken.remove(lender)
            val levelBefore = bucket.levelTokens
            bucket.refresh()
            val tokens = minOf(levelBefore - bucket.levelTokens, loan.allowance.burst)
            outbox.send(lender, ShareMessage.Return(customer, loan.sequence, tokens))
        }
    }

    private fun askHolders(customer: CustomerId, bucket: CustomerBucket, table: ShareTable, nowMillis: Long) {
        val demand = bucket.demand.perSecond(nowMillis)
        val isSteady = demand >= STEADY_PER_SECOND
        val wantedTokens = maxOf(1.0, if (isSteady) demand * LOOKAHEAD_SECONDS else 1.0)
        val wantedRate = if (isSteady) demand * RATE_HEADROOM else 0.0
        bucket.pace.start(nowMillis, isSteady)
        for (holder in table.holders(customer)) {
            if (holder == self || holder in bucket.asks) continue
            val ask = ShareMessage.Ask(
                customer = customer,
                askId = ++lastAskId,
                tokens = maxOf(0.0, wantedTokens - bucket.levelTokens),
                ratePerSecond = maxOf(0.0, wantedRate - bucket.current.ratePerSecond),
                demandPerSecond = demand,
            )
            bucket.asks[holder] = PendingAsk(ask.askId, nowMillis)
            outbox.send(holder, ask)
        }
    }

    private companion object {
        const val STEADY_PER_SECOND = 3.0
        const val LOOKAHEAD_SECONDS = 0.25
        const val LOW_WATER_SECONDS = 0.1
        const val RATE_HEADROOM = 1.25
        const val RENEW_PART = 2
    }
}
