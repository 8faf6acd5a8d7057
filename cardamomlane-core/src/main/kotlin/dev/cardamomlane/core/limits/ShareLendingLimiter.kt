package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * Decides on one host which requests of which customers run.
 *
 * Over all hosts together a customer never gets more than its rate and burst: the holdings of all hosts add up to at
 * most the customer's allowance, and tokens move from a holder to a borrower only together with the burst that they fill. A loan ends at the borrower before it ends at the holder.
 *
 * The caller tells at each use whether the host is in good standing; out of standing nothing is admitted or lent.
 * Keeps state only for customers with traffic, with loans, or with a bucket that is not full.
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

    /** How many customers this host keeps state for. */
    public val trackedCustomers: Int get() = buckets.size

    /** Replaces the shares. Loans from holders whose share shrank end at once; new share starts empty. */
    public fun install(newTable: ShareTable, nowMillis: Long) {
        history.add(newTable, nowMillis)
        for ((customer, bucket) in buckets) {
            bucket.advance(nowMillis)
            bucket.hold(newTable.holding(self, customer))
            borrowing.dropShrunk(customer, bucket, newTable)
        }
    }

    /** Takes one token of [customer], or says why not and when to come back. */
    public fun admit(customer: CustomerId, inStanding: Boolean, nowMillis: Long): Admission {
        if (!inStanding) return Admission.Refused(RefusalReason.NOT_IN_STANDING, STANDING_RETRY_MILLIS)
        if (!history.current.isLimited(customer)) return Admission.Admitted
        val bucket = bucketOf(customer, nowMillis)
        bucket.demand.arrive(nowMillis)
        if (bucket.levelTokens < 1) return refuse(customer, bucket, nowMillis)
        bucket.take(1.0)
        borrowing.afterUse(customer, bucket, history.current, nowMillis)
        return Admission.Admitted
    }

    /** Handles a message of another member. */
    public fun onMessage(from: MemberId, message: ShareMessage, inStanding: Boolean, nowMillis: Long) {
        when (message) {
            is ShareMessage.LoanRequest -> if (inStanding && history.current.isLimited(message.customer)) {
                lending.onAsk(from, message, bucketOf(message.customer, nowMillis), nowMillis)
            }
            is ShareMessage.LoanGrant -> known(message.customer, nowMillis)?.let {
                borrowing.onLend(from, message, it, history.current, nowMillis)
            }
            is ShareMessage.LoanReturn -> known(message.customer, nowMillis)?.let {
                lending.onReturn(from, message, it)
            }
        }
    }

    /** Returns loans that are idle or about to end and forgets customers whose bucket is full and idle. */
    public fun tick(nowMillis: Long) {
        val entries = buckets.entries.iterator()
        while (entries.hasNext()) {
            val (customer, bucket) = entries.next()
            bucket.advance(nowMillis)
            borrowing.tick(customer, bucket, nowMillis)
            if (bucket.isDefault(nowMillis)) entries.remove()
        }
    }

    /** Gives every loan back, as a host does before it stops. */
    public fun returnAll(nowMillis: Long) {
        for ((customer, bucket) in buckets) {
            bucket.advance(nowMillis)
            borrowing.returnLoans(customer, bucket)
        }
    }

    private fun refuse(customer: CustomerId, bucket: CustomerBucket, nowMillis: Long): Admission {
        borrowing.askForTokens(customer, bucket, history.current, nowMillis)
        if (bucket.asks.isWaiting) return Admission.Refused(RefusalReason.BORROWING, BORROW_RETRY_MILLIS)
        val ownMillis = bucket.millisToToken() ?: Long.MAX_VALUE
        val lentMillis = bucket.asks.earliestRetryMillis()?.let { maxOf(1, it - nowMillis) } ?: terms.termMillis
        return Admission.Refused(RefusalReason.OVER_RATE, minOf(ownMillis, lentMillis))
    }

    private fun known(customer: CustomerId, nowMillis: Long): CustomerBucket? =
        buckets[customer]?.also { it.advance(nowMillis) }

    private fun bucketOf(customer: CustomerId, nowMillis: Long): CustomerBucket =
        known(customer, nowMillis) ?: history.newBucket(customer, nowMillis).also { buckets[customer] = it }

    private companion object {
        const val STANDING_RETRY_MILLIS = 250L
        const val BORROW_RETRY_MILLIS = 4L
    }
}
