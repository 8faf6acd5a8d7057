package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId

/**
 * Decides on one host which requests of which customers run, by shares that follow the demand.
 *
 * Each host tells the others how much each customer asks of it. A host's share of a customer's allowance is an equal
 * part of [BASE_PART] and a part of the rest in proportion to the demand that was told. A host counts its own demand as
 * it last told it, so that all hosts compute with the same numbers and the shares add up to one, but for the
 * moment that a message takes. A host that is not heard has no part of the rest; it must have stopped by then.
 *
 * A bucket is empty when the host starts, and one that was not looked at for long fills for [MAX_FILL_MILLIS] only, so
 * that a host that was restarted or stood still brings no burst of its own.
 *
 * Not safe for use by several threads.
 *
 * @param startedAtMillis when the host started, from which on buckets fill
 */
public class DemandShares(private val startedAtMillis: Long) {
    private val buckets = HashMap<CustomerId, Bucket>()
    private val demandByHost = HashMap<HostId, Map<CustomerId, Double>>()
    private var toldAtMillis: Long? = null

    /** Takes one token of [customer], whose allowance all [hostCount] hosts share, or says when to come back. */
    public fun admit(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): Admission {
        require(hostCount >= 1) { "hostCount must be at least 1 but was $hostCount" }
        val bucket = buckets.getOrPut(customer) { Bucket(startedAtMillis) }
        bucket.arrivals++
        val share = share(customer, bucket, hostCount)
        bucket.fill(allowance, share, nowMillis)
        if (bucket.levelTokens >= 1) {
            bucket.levelTokens -= 1
            return Admission.Admitted
        }
        val ratePerSecond = allowance.ratePerSecond * share
        val waitMillis = if (ratePerSecond <= 0) {
            NO_RATE_RETRY_MILLIS
        } else {
            ((1 - bucket.levelTokens) / ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
        }
        return Admission.Refused(RefusalReason.OVER_RATE, waitMillis)
    }

    /** Tries again for a request that [admit] refused, without counting it as demand once more. */
    public fun admitAgain(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): Admission {
        buckets[customer]?.let { it.arrivals-- }
        return admit(customer, allowance, hostCount, nowMillis)
    }

    /** What each customer asked of this host lately, per second, to be told to the other hosts now. */
    public fun tell(nowMillis: Long): Map<CustomerId, Double> {
        val sinceMillis = toldAtMillis
        toldAtMillis = nowMillis
        val elapsedMillis = if (sinceMillis == null) FIRST_TELL_MILLIS else maxOf(1, nowMillis - sinceMillis)
        for (bucket in buckets.values) bucket.tell(elapsedMillis)
        buckets.values.removeIf { it.toldPerSecond < FORGET_PER_SECOND && it.isFull }
        return buckets.filterValues { it.toldPerSecond >= FORGET_PER_SECOND }.mapValues { it.value.toldPerSecond }
    }

    /** Takes in what [host] told. */
    public fun hear(host: HostId, demandPerSecond: Map<CustomerId, Double>) {
        demandByHost[host] = demandPerSecond
    }

    /** Leaves out every host that is not among [heard]. */
    public fun retain(heard: Set<HostId>) {
        demandByHost.keys.retainAll(heard)
    }

    private fun share(customer: CustomerId, bucket: Bucket, hostCount: Int): Double {
        val others = demandByHost.values.sumOf { it[customer] ?: 0.0 }
        val all = others + bucket.toldPerSecond
        val equalPart = 1.0 / hostCount
        return if (all <= 0) equalPart else BASE_PART * equalPart + (1 - BASE_PART) * bucket.toldPerSecond / all
    }

    private class Bucket(private var filledAtMillis: Long) {
        var levelTokens = 0.0
        var arrivals = 0
        var toldPerSecond = 0.0
        var isFull = false
            private set

        fun fill(allowance: Allowance, share: Double, nowMillis: Long) {
            val elapsedMillis = (nowMillis - filledAtMillis).coerceIn(0, MAX_FILL_MILLIS)
            filledAtMillis = nowMillis
            val capacity = maxOf(MIN_TOKENS, allowance.burst * share)
            val filled = levelTokens + allowance.ratePerSecond * share * elapsedMillis / MILLIS_PER_SECOND
            isFull = filled >= capacity
            levelTokens = minOf(capacity, filled)
        }

        fun tell(elapsedMillis: Long) {
            val weight = minOf(1.0, elapsedMillis / SMOOTHING_MILLIS)
            val seenPerSecond = arrivals * MILLIS_PER_SECOND / elapsedMillis
            toldPerSecond += (seenPerSecond - toldPerSecond) * weight
            arrivals = 0
        }
    }

    /** Bounds of the computation. */
    public companion object {
        /** The part of an allowance that all hosts share equally, whatever the demand. */
        public const val BASE_PART: Double = 0.4

        /** The longest time for which a bucket fills at once. */
        public const val MAX_FILL_MILLIS: Long = 1_000

        private const val MIN_TOKENS = 1.0
        private const val SMOOTHING_MILLIS = 600.0
        private const val FIRST_TELL_MILLIS = 250L
        private const val FORGET_PER_SECOND = 0.05
        private const val NO_RATE_RETRY_MILLIS = 1_000L
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
