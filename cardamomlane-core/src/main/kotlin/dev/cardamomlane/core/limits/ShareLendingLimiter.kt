package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * Decides on one host which requests of which customers run. Hosts lend their share of a customer's allowance to one
 * another.
 *
 * Over all hosts together a customer never gets more than its rate and burst: the holdings of all hosts add up to at
 * most the customer's allowance, and a holder lends tokens only together with the burst that they fill. A loan ends at
 * the borrower before it ends at the holder.
 *
 * The caller passes at each use whether the host is in good standing, as
 * [FleetMachine.isInStanding][dev.cardamomlane.core.fleet.FleetMachine.isInStanding] defines it. Otherwise nothing is
 * admitted or lent, because the shares may be outdated. Keeps state only for customers with traffic, with loans, or
 * with a bucket that is not full.
 *
 * Not safe for use by several threads.
 */
public class ShareLendingLimiter(
    private val self: MemberId,
    private val outbox: ShareOutbox,
    private val terms: LoanTerms = LoanTerms(),
) {
    private val buckets = HashMap<CustomerId, CustomerBucket>()
    private val history = HoldingHistory(self)
    private val lending = Lending(self, outbox, terms)
    private val borrowing = Borrowing(self, outbox, terms)

    /** The number of customers that this host keeps state for. */
    public val trackedCustomers: Int get() = buckets.size

    /**
     * Replaces the shares. Loans from holders whose share became smaller end at once. Where this host's share grows,
     * the new part starts without tokens.
     */
    public fun install(newTable: ShareTable, nowMillis: Long) {
        history.add(newTable, nowMillis)
        for ((customer, bucket) in buckets) {
            bucket.advance(nowMillis)
            bucket.replaceHolding(newTable.holding(self, customer))
            borrowing.dropOutdatedLoans(customer, bucket, newTable)
        }
    }

    /** Takes one token of [customer], or refuses with the reason and the time to wait before another attempt. */
    public fun admit(customer: CustomerId, inStanding: Boolean, nowMillis: Long): Admission {
        if (!inStanding) return Admission.Refused(RefusalReason.NOT_IN_STANDING, STANDING_RETRY_MILLIS)
        if (!history.current.isLimited(customer)) return Admission.Admitted
        val bucket = bucketFor(customer, nowMillis)
        bucket.demand.onArrival(nowMillis)
        if (bucket.levelTokens < 1) return refuse(customer, bucket, nowMillis)
        bucket.take(1.0)
        borrowing.afterAdmission(customer, bucket, history.current, nowMillis)
        return Admission.Admitted
    }

    /** Handles a message from another member. Ignores loan requests while this host is not in good standing. */
    public fun onMessage(from: MemberId, message: ShareMessage, inStanding: Boolean, nowMillis: Long) {
        when (message) {
            is ShareMessage.LoanRequest -> if (inStanding && history.current.isLimited(message.customer)) {
                lending.onLoanRequest(from, message, bucketFor(message.customer, nowMillis), nowMillis)
            }
            is ShareMessage.LoanGrant -> existingBucket(message.customer, nowMillis)?.let {
                borrowing.onLoanGrant(from, message, it, history.current, nowMillis)
            }
            is ShareMessage.LoanReturn -> existingBucket(message.customer, nowMillis)?.let {
                lending.onLoanReturn(from, message, it)
            }
        }
    }

    /** Returns loans that are idle or about to end, and drops the state of idle customers whose bucket is full. */
    public fun tick(nowMillis: Long) {
        val entries = buckets.entries.iterator()
        while (entries.hasNext()) {
            val (customer, bucket) = entries.next()
            bucket.advance(nowMillis)
            borrowing.tick(customer, bucket, nowMillis)
            if (bucket.isDefault(nowMillis)) entries.remove()
        }
    }

    /** Returns every loan. Called before the host stops. */
    public fun returnAll(nowMillis: Long) {
        for ((customer, bucket) in buckets) {
            bucket.advance(nowMillis)
            borrowing.returnLoans(customer, bucket)
        }
    }

    private fun refuse(customer: CustomerId, bucket: CustomerBucket, nowMillis: Long): Admission {
        borrowing.requestTokens(customer, bucket, history.current, nowMillis)
        if (bucket.loanRequests.isWaiting) return Admission.Refused(RefusalReason.BORROWING, BORROW_RETRY_MILLIS)
        val ownRefillMillis = bucket.millisToToken() ?: Long.MAX_VALUE
        val holderRetryMillis =
            bucket.loanRequests.earliestRetryMillis()?.let { maxOf(1, it - nowMillis) } ?: terms.termMillis
        return Admission.Refused(RefusalReason.OVER_RATE, minOf(ownRefillMillis, holderRetryMillis))
    }

    private fun existingBucket(customer: CustomerId, nowMillis: Long): CustomerBucket? =
        buckets[customer]?.also { it.advance(nowMillis) }

    private fun bucketFor(customer: CustomerId, nowMillis: Long): CustomerBucket =
        existingBucket(customer, nowMillis) ?: history.newBucket(customer, nowMillis).also { buckets[customer] = it }

    private companion object {
        /** When to try again after a refusal because the host is not in good standing. */
        const val STANDING_RETRY_MILLIS = 250L

        /** When to try again while the answer to a loan request is awaited. */
        const val BORROW_RETRY_MILLIS = 4L
    }
}
