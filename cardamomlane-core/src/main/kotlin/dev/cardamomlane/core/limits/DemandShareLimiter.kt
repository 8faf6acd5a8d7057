package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId

/**
 * Decides on one host which requests of which customers run, so that all hosts together keep to each allowance.
 *
 * Each host tells the others how much each customer asks of it and how many requests it has let run. So every host knows
 * what all of them may still take together, but for the last moment. Whenever it tells, a host grants itself a part of
 * what is left, by its share of the demand; what other hosts leave unused is thus divided anew several times a second.
 * A host that takes more than it should have for lack of news finds less left at its next grant.
 *
 * A host's share is an equal part of [BASE_PART] and a part of the rest in proportion to the demand that was told. A host
 * counts its own demand as it last told it, so that all hosts compute with the same numbers and the shares add up to
 * one. The part of a host that is overdue is taken as used up. A host that is not heard may serve on the other side of a
 * cut, so each side keeps to the equal parts of the hosts that it hears.
 *
 * Nothing is left when the host starts, and after a pause it counts the time of [MAX_FILL_MILLIS] only, so that a host
 * that was restarted or stood still brings no burst of its own.
 *
 * Not safe for use by several threads.
 *
 * @param startedAtMillis when the host started, from which on allowances fill
 */
public class DemandShareLimiter(private val startedAtMillis: Long) {
    private val accounts = HashMap<CustomerId, Account>()
    private val toldByHost = HashMap<HostId, Told>()
    private val spendingByHost = HashMap<HostId, Spending>()
    private var toldAtMillis: Long? = null

    /** Takes one token of [customer], whose allowance all [hostCount] hosts share, or says when to come back. */
    public fun admit(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): Admission {
        require(hostCount >= 1) { "hostCount must be at least 1 but was $hostCount" }
        val account = accounts.getOrPut(customer) { newAccount(customer, allowance, nowMillis) }
        account.allowance = allowance
        account.arrivals++
        account.fill(demand(customer, account, hostCount, nowMillis), nowMillis)
        if (account.take(hostCount)) return Admission.Admitted
        return Admission.Refused(RefusalReason.OVER_RATE, account.waitMillis(hostCount))
    }

    /** Tries again for a request that [admit] refused, without counting it as demand once more. */
    public fun admitAgain(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): Admission {
        accounts[customer]?.let { it.arrivals-- }
        return admit(customer, allowance, hostCount, nowMillis)
    }

    /** What is to be told to the other hosts now, by customer. Divides anew what is left among [hostCount] hosts. */
    public fun report(hostCount: Int, nowMillis: Long): Map<CustomerId, CustomerUsage> {
        val sinceMillis = toldAtMillis
        toldAtMillis = nowMillis
        val elapsedMillis = if (sinceMillis == null) FIRST_TELL_MILLIS else maxOf(1, nowMillis - sinceMillis)
        for ((customer, account) in accounts) {
            account.tell(elapsedMillis)
            account.fill(demand(customer, account, hostCount, nowMillis), nowMillis)
            account.grant()
        }
        return accounts.filterValues { it.toldPerSecond >= QUIET_PER_SECOND }
            .mapValues { CustomerUsage(it.value.toldPerSecond, it.value.admittedCount) }
    }

    /** Takes in what [host] told in its run [incarnation], a number that changes with each of its starts. */
    public fun onReport(host: HostId, incarnation: Long, usages: Map<CustomerId, CustomerUsage>, nowMillis: Long) {
        val isKnown = host in spendingByHost
        val earlier = spendingByHost[host]?.takeIf { it.incarnation == incarnation }
        val spending = earlier ?: Spending(incarnation).also { spendingByHost[host] = it }
        val isSilentBefore = toldByHost.put(host, Told(usages, nowMillis)) == null
        for ((customer, use) in usages) {
            val before = spending.countByCustomer.put(customer, use.admittedCount) ?: 0
            if (isKnown && !isSilentBefore) accounts[customer]?.spent(use.admittedCount - before)
        }
    }

    /** Leaves out every host that is not among [heard]. */
    public fun retainHosts(heard: Set<HostId>) {
        toldByHost.keys.retainAll(heard)
    }

    /** What is left of an allowance that other hosts use too much is not known yet: nothing. */
    private fun newAccount(customer: CustomerId, allowance: Allowance, nowMillis: Long): Account {
        val othersPerSecond = toldByHost.values.sumOf { it.usages[customer]?.demandPerSecond ?: 0.0 }
        return Account(allowance, if (othersPerSecond <= allowance.ratePerSecond) startedAtMillis else nowMillis)
    }

    private fun demand(customer: CustomerId, account: Account, hostCount: Int, nowMillis: Long): Demand {
        var others = 0.0
        var overdue = 0.0
        var overdueCount = 0
        for (told in toldByHost.values) {
            val perSecond = told.usages[customer]?.demandPerSecond ?: 0.0
            others += perSecond
            if (nowMillis - told.atMillis > OVERDUE_MILLIS) {
                overdue += perSecond
                overdueCount++
            }
        }
        val all = others + account.toldPerSecond
        val equalPart = 1.0 / hostCount
        val silentCount = maxOf(0, hostCount - 1 - toldByHost.size)
        val heardShare = equalPart * (hostCount - silentCount)
        if (all <= 0) return Demand(equalPart, heardShare - equalPart * overdueCount)
        val restShare = (1 - BASE_PART) * heardShare
        return Demand(
            ownShare = BASE_PART * equalPart + restShare * account.toldPerSecond / all,
            knownShare = heardShare - BASE_PART * equalPart * overdueCount - restShare * overdue / all,
        )
    }

    private class Told(val usages: Map<CustomerId, CustomerUsage>, val atMillis: Long)

    /** How many requests a host let run in one run of it. */
    private class Spending(val incarnation: Long) {
        val countByCustomer = HashMap<CustomerId, Long>()
    }

    /** Shares of an allowance: this host's, and that of all hosts whose spending is known. */
    private class Demand(val ownShare: Double, val knownShare: Double)

    private class Account(var allowance: Allowance, private var filledAtMillis: Long) {
        private var leftTokens = 0.0
        private var grantTokens = 0.0
        private var capacityTokens = 0.0
        private var ownShare = 0.0
        private var beyondGrantCount = 0
        var arrivals = 0
        var admittedCount = 0L
            private set
        var toldPerSecond = 0.0
            private set

        fun fill(demand: Demand, nowMillis: Long) {
            val elapsedMillis = (nowMillis - filledAtMillis).coerceIn(0, MAX_FILL_MILLIS)
            filledAtMillis = nowMillis
            val newTokens = allowance.ratePerSecond * elapsedMillis / MILLIS_PER_SECOND
            capacityTokens = maxOf(MIN_TOKENS, allowance.burst * CAPACITY_PART * demand.knownShare)
            ownShare = demand.ownShare
            leftTokens = minOf(capacityTokens, leftTokens + newTokens * demand.knownShare)
            val mostTokens = maxOf(MIN_TOKENS, capacityTokens * ownShare)
            grantTokens = minOf(mostTokens, grantTokens + newTokens * ownShare)
        }

        fun take(hostCount: Int): Boolean {
            if (grantTokens >= 1) {
                grantTokens--
            } else if (beyondGrantCount < MAX_BEYOND_GRANT && isAmple(hostCount)) {
                beyondGrantCount++
            } else {
                return false
            }
            admittedCount++
            spent(1)
            return true
        }

        fun spent(count: Long) {
            leftTokens = maxOf(-capacityTokens, leftTokens - count)
        }

        fun waitMillis(hostCount: Int): Long {
            if (isAmple(hostCount) || leftTokens * ownShare * GRANT_PART >= 1) return GRANT_WAIT_MILLIS
            val ratePerSecond = allowance.ratePerSecond * ownShare
            if (ratePerSecond <= 0) return NO_RATE_RETRY_MILLIS
            return ((1 - grantTokens) / ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
        }

        /** True while each host may let some requests run beyond its grant: together they overdraw by little. */
        private fun isAmple(hostCount: Int): Boolean =
            leftTokens >= maxOf(MIN_TOKENS, MAX_BEYOND_GRANT * hostCount - MAX_OVERDRAFT_TOKENS)

        fun tell(elapsedMillis: Long) {
            val weight = minOf(1.0, elapsedMillis / SMOOTHING_MILLIS)
            val seenPerSecond = arrivals * MILLIS_PER_SECOND / elapsedMillis
            toldPerSecond += (seenPerSecond - toldPerSecond) * weight
            arrivals = 0
        }

        fun grant() {
            beyondGrantCount = 0
            grantTokens = maxOf(0.0, leftTokens * ownShare * GRANT_PART)
        }
    }

    /** Bounds of the computation. */
    public companion object {
        /** The part of an allowance that all hosts share equally, whatever the demand. */
        public const val BASE_PART: Double = 0.4

        /** The longest time for which an allowance fills at once. */
        public const val MAX_FILL_MILLIS: Long = 1_000

        /** How much of its share of what is left a host grants itself at once: the others may have taken from it. */
        private const val GRANT_PART = 0.7

        /** How many requests may run beyond a grant, so that a share of less than one token is of use. */
        private const val MAX_BEYOND_GRANT = 2

        /** How far all hosts together may overdraw an allowance for a moment. */
        private const val MAX_OVERDRAFT_TOKENS = 15.0

        /** The age of the last news of a host from which on its spending is not known: the next message is late. */
        private const val OVERDUE_MILLIS = 300L

        /** When to come back for the next grant: hosts tell early when they refuse. */
        private const val GRANT_WAIT_MILLIS = 30L

        /** The part of a burst that is kept. The rest covers what both sides of a cut spend before they know of it. */
        private const val CAPACITY_PART = 0.8
        private const val MIN_TOKENS = 1.0
        private const val SMOOTHING_MILLIS = 600.0
        private const val FIRST_TELL_MILLIS = 250L
        private const val QUIET_PER_SECOND = 0.05
        private const val NO_RATE_RETRY_MILLIS = 1_000L
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
