package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId

/**
 * Decides on one host which requests of which customers run, so that all hosts together keep to each customer's
 * allowance. Each host's share of an allowance follows its share of the demand.
 *
 * Each host periodically reports to the others how many requests a second each customer makes there and how many it
 * has admitted. So every host knows what remains of an allowance for all hosts, except for what was admitted since the
 * last reports. Whenever a host reports, it grants itself a part of the remainder, by its share of the demand. What
 * other hosts leave unused is thereby redistributed several times a second. A host that admits more than its part
 * because reports are missing finds a smaller remainder at its next grant.
 *
 * A part of an allowance, `baseFraction`, is divided equally among the hosts, the rest in proportion to their reported
 * demand.
 * A host counts its own demand as it last reported it, so that all hosts compute with the same numbers and the shares
 * add up to one. The part of a host whose report is overdue counts as used up. A host whose reports stopped may still
 * serve on the other side of a network partition, so each side uses only the equal parts of the hosts whose reports it
 * receives.
 *
 * When the host starts, no tokens remain, and after a pause at most [MAX_FILL_MILLIS] are refilled. So a host that was
 * restarted or paused adds no burst of its own. Nor does a host to which a customer is new: it counts what the other hosts
 * reported to have admitted before. What a host may have admitted since its last report, when its next one is overdue, is taken
 * to be spent until it reports again.
 *
 * Not safe for use by several threads.
 *
 * @param baseFraction the fraction of an allowance that the hosts share equally now; smaller where each customer's
 *   requests arrive at one host
 * @param startedAtMillis when the host started, from which on allowances refill
 */
public class DemandShareLimiter(private val startedAtMillis: Long, private val baseFraction: Double = BASE_FRACTION) {
    private val states = HashMap<CustomerId, CustomerState>()
    private val reportByHost = HashMap<HostId, HostReport>()
    private val admittedByHost = HashMap<HostId, AdmittedCounts>()
    private val useElsewhere = HashMap<CustomerId, RecentUse>()
    private var lastReportMillis: Long? = null

    /** Takes one token of [customer], whose allowance [hostCount] hosts share, or refuses with the time to wait. */
    public fun admit(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): Admission {
        require(hostCount >= 1) { "hostCount must be at least 1 but was $hostCount" }
        writeOffOverdue(nowMillis)
        val state = states.getOrPut(customer) { newState(customer, allowance, nowMillis) }
        state.allowance = allowance
        state.arrivals++
        state.refill(shares(customer, state, hostCount, nowMillis), nowMillis)
        if (state.take(hostCount)) return Admission.Admitted
        return Admission.Refused(RefusalReason.OVER_RATE, state.waitMillis(hostCount))
    }

    /**
     * Counts one request of [customer] as demand, and returns what this host can spend on it. Takes no token: a request
     * that is to run then needs [admitAgain].
     */
    public fun onRequest(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): TokenBudget {
        require(hostCount >= 1) { "hostCount must be at least 1 but was $hostCount" }
        writeOffOverdue(nowMillis)
        val state = states.getOrPut(customer) { newState(customer, allowance, nowMillis) }
        state.allowance = allowance
        state.arrivals++
        val shares = shares(customer, state, hostCount, nowMillis)
        state.refill(shares, nowMillis)
        return state.budget(shares)
    }

    /**
     * True when this host has reported demand of [customer], no other host reports any, and no report is overdue. A
     * report ahead of schedule then changes no host's part of the allowance.
     */
    public fun isSole(customer: CustomerId): Boolean = states[customer]?.isSole ?: false

    /** Decides again on a request that [admit] refused, without counting it as demand a second time. */
    public fun admitAgain(customer: CustomerId, allowance: Allowance, hostCount: Int, nowMillis: Long): Admission {
        states[customer]?.let { it.arrivals-- }
        return admit(customer, allowance, hostCount, nowMillis)
    }

    /**
     * The report to send to the other hosts now, by customer. Also grants this host its part of what remains for
     * [hostCount] hosts. Leaves out customers with hardly any demand.
     */
    public fun report(hostCount: Int, nowMillis: Long): Map<CustomerId, CustomerUsage> {
        writeOffOverdue(nowMillis)
        val previousMillis = lastReportMillis
        lastReportMillis = nowMillis
        val elapsedMillis = if (previousMillis == null) FIRST_REPORT_MILLIS else maxOf(1, nowMillis - previousMillis)
        for ((customer, state) in states) {
            state.updateDemand(elapsedMillis)
            state.refill(shares(customer, state, hostCount, nowMillis), nowMillis)
            state.renewGrant()
        }
        return states.filterValues { it.reportedPerSecond >= MIN_REPORTED_PER_SECOND }
            .mapValues { CustomerUsage(it.value.reportedPerSecond, it.value.admittedCount) }
    }

    /** Records a report of [host]. Its [incarnation] changes with each of its starts, and its counts then restart. */
    public fun onReport(host: HostId, incarnation: Long, usages: Map<CustomerId, CustomerUsage>, nowMillis: Long) {
        val isKnownHost = host in admittedByHost
        val earlier = admittedByHost[host]?.takeIf { it.incarnation == incarnation }
        val admitted = earlier ?: AdmittedCounts(incarnation).also { admittedByHost[host] = it }
        val previous = reportByHost.put(host, HostReport(usages, nowMillis))
        if (earlier != null) previous?.takeBackWrittenOff()
        for ((customer, use) in usages) {
            val before = admitted.countByCustomer.put(customer, use.admittedCount) ?: 0
            val count = (use.admittedCount - before).toDouble()
            if (count <= 0) continue
            if (!isKnownHost) {
                onUnknownUse(customer, use.demandPerSecond, count, nowMillis)
            } else if (earlier == null || previous != null) {
                onAdmittedElsewhere(customer, RecentUse.Use(nowMillis, count))
            }
        }
    }

    /**
     * A host that was unknown has admitted [count] requests at some time. Unless the customer keeps to its rate there, they
     * are taken to be recent.
     */
    private fun onUnknownUse(customer: CustomerId, demandPerSecond: Double, count: Double, nowMillis: Long) {
        onAdmittedElsewhere(customer, RecentUse.Use(nowMillis, count, isUpperBound = true, demandPerSecond))
    }

    /** Returns how to undo it. */
    private fun onAdmittedElsewhere(customer: CustomerId, use: RecentUse.Use): () -> Unit {
        val state = states[customer]
        if (state != null) {
            val taken = state.take(use)
            return { state.giveBack(taken) }
        }
        val recent = useElsewhere.getOrPut(customer) { RecentUse(startedAtMillis) }
        recent.add(use)
        return { recent.remove(use) }
    }

    /** Takes what hosts may have admitted since their last reports to be spent, once the next reports are overdue. */
    private fun writeOffOverdue(nowMillis: Long) {
        for (report in reportByHost.values) {
            if (report.isWrittenOff || nowMillis - report.receivedAtMillis <= OVERDUE_MILLIS) continue
            report.isWrittenOff = true
            for ((customer, use) in report.usages) {
                if (use.demandPerSecond <= 0) continue
                val tokens = use.demandPerSecond * MAX_FILL_MILLIS / MILLIS_PER_SECOND
                report.writtenOff +=
                    onAdmittedElsewhere(customer, RecentUse.Use(nowMillis, tokens, isUpperBound = true))
            }
        }
    }

    /** Drops the reports of all hosts that are not in [aliveHosts], the hosts whose reports still arrive. */
    public fun retainHosts(aliveHosts: Set<HostId>) {
        reportByHost.keys.retainAll(aliveHosts)
    }

    /**
     * The state of a customer that is new to this host. If the other hosts report more demand than the rate, the
     * remainder is not known yet and counts as nothing.
     */
    private fun newState(customer: CustomerId, allowance: Allowance, nowMillis: Long): CustomerState {
        val othersPerSecond = reportByHost.values.sumOf { it.usages[customer]?.demandPerSecond ?: 0.0 }
        val recent = useElsewhere.remove(customer) ?: RecentUse(startedAtMillis)
        if (othersPerSecond > allowance.ratePerSecond) return CustomerState(allowance, nowMillis)
        val maxTokens = minOf(allowance.burst, allowance.ratePerSecond * MAX_FILL_MILLIS / MILLIS_PER_SECOND)
        return CustomerState(allowance, nowMillis, recent.remainingTokens(allowance, maxTokens, nowMillis))
    }

    private fun shares(customer: CustomerId, state: CustomerState, hostCount: Int, nowMillis: Long): Shares {
        var othersPerSecond = 0.0
        var overduePerSecond = 0.0
        var overdueCount = 0
        for (report in reportByHost.values) {
            val perSecond = report.usages[customer]?.demandPerSecond ?: 0.0
            othersPerSecond += perSecond
            if (nowMillis - report.receivedAtMillis > OVERDUE_MILLIS) {
                overduePerSecond += perSecond
                overdueCount++
            }
        }
        val allPerSecond = othersPerSecond + state.reportedPerSecond
        val equalFraction = 1.0 / hostCount
        val silentCount = maxOf(0, hostCount - 1 - reportByHost.size)
        val aliveShare = equalFraction * (hostCount - silentCount)
        if (allPerSecond <= 0) return Shares(equalFraction, aliveShare - equalFraction * overdueCount, isSole = false)
        val restShare = (1 - baseFraction) * aliveShare
        return Shares(
            ownShare = baseFraction * equalFraction + restShare * state.reportedPerSecond / allPerSecond,
            knownShare = aliveShare - baseFraction * equalFraction * overdueCount -
                restShare * overduePerSecond / allPerSecond,
            isSole = othersPerSecond <= 0.0 && overdueCount == 0,
        )
    }

    private class HostReport(val usages: Map<CustomerId, CustomerUsage>, val receivedAtMillis: Long) {
        /** True once what the host may have admitted since then counts as spent, as its next report is overdue. */
        var isWrittenOff = false

        /** Undo that, one for each customer. */
        val writtenOff = ArrayList<() -> Unit>()

        fun takeBackWrittenOff(): Unit = writtenOff.forEach { it() }
    }

    /** How many requests of each customer a host admitted in one incarnation. */
    private class AdmittedCounts(val incarnation: Long) {
        val countByCustomer = HashMap<CustomerId, Long>()
    }

    /**
     * Fractions of an allowance: of this host, and of all hosts whose admitted requests are known.
     *
     * @property isSole true when no other host reports any demand, so that nothing must be kept back for others
     */
    private class Shares(val ownShare: Double, val knownShare: Double, val isSole: Boolean)

    /** One customer on this host: what remains of its allowance for all hosts, and what this host granted itself. */
    private class CustomerState(
        var allowance: Allowance,
        private var filledAtMillis: Long,
        private var initialTokens: Double = 0.0,
    ) {
        private var remainingTokens = 0.0
        private var grantTokens = 0.0
        private var capacityTokens = 0.0
        private var ownShare = 0.0
        var isSole = false
            private set
        private var beyondGrantCount = 0
        var arrivals = 0
        var admittedCount = 0L
            private set
        var reportedPerSecond = 0.0
            private set

        private val grantFraction: Double get() = if (isSole) 1.0 else GRANT_FRACTION

        fun refill(shares: Shares, nowMillis: Long) {
            val elapsedMillis = (nowMillis - filledAtMillis).coerceIn(0, MAX_FILL_MILLIS)
            filledAtMillis = nowMillis
            val newTokens = initialTokens + allowance.ratePerSecond * elapsedMillis / MILLIS_PER_SECOND
            initialTokens = 0.0
            isSole = shares.isSole
            val capacityFraction = if (isSole) 1.0 else CAPACITY_FRACTION
            capacityTokens = maxOf(MIN_TOKENS, allowance.burst * capacityFraction * shares.knownShare)
            ownShare = shares.ownShare
            remainingTokens = minOf(capacityTokens, remainingTokens + newTokens * shares.knownShare)
            val maxGrantTokens = maxOf(MIN_TOKENS, capacityTokens * ownShare)
            grantTokens = minOf(maxGrantTokens, grantTokens + newTokens * ownShare)
        }

        /** Without demand elsewhere this host spends all that is known to remain, since each grant renews from it. */
        fun budget(shares: Shares) = TokenBudget(
            ratePerSecond = allowance.ratePerSecond * maxOf(0.0, if (isSole) shares.knownShare else ownShare),
            levelTokens = maxOf(0.0, minOf(grantTokens, remainingTokens)),
            capacityTokens = maxOf(MIN_TOKENS, capacityTokens * ownShare * grantFraction),
        )

        fun take(hostCount: Int): Boolean {
            if (grantTokens >= 1) {
                grantTokens--
            } else if (beyondGrantCount < MAX_BEYOND_GRANT && allowsBeyondGrant(hostCount)) {
                beyondGrantCount++
            } else {
                return false
            }
            admittedCount++
            onAdmitted(1.0)
            return true
        }

        fun onAdmitted(tokens: Double) {
            remainingTokens = maxOf(-capacityTokens, remainingTokens - tokens)
        }

        /** Takes the tokens of [use] and returns how many. */
        fun take(use: RecentUse.Use): Double {
            val taken = use.takenOf(remainingTokens, allowance)
            onAdmitted(taken)
            if (use.isUpperBound) grantTokens = minOf(grantTokens, maxOf(0.0, remainingTokens))
            return taken
        }

        fun giveBack(tokens: Double) {
            remainingTokens = minOf(capacityTokens, remainingTokens + tokens)
        }

        fun waitMillis(hostCount: Int): Long {
            if (allowsBeyondGrant(hostCount) || remainingTokens * ownShare * grantFraction >= 1) return RENEWAL_MILLIS
            val ratePerSecond = allowance.ratePerSecond * ownShare
            if (ratePerSecond <= 0) return NO_RATE_RETRY_MILLIS
            return ((1 - grantTokens) / ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
        }

        /** True while so much remains that all hosts may exceed their grants without overdrawing by much together. */
        private fun allowsBeyondGrant(hostCount: Int): Boolean =
            remainingTokens >= maxOf(MIN_TOKENS, MAX_BEYOND_GRANT * hostCount - MAX_OVERDRAFT_TOKENS)

        fun updateDemand(elapsedMillis: Long) {
            val weight = minOf(1.0, elapsedMillis / SMOOTHING_MILLIS)
            val observedPerSecond = arrivals * MILLIS_PER_SECOND / elapsedMillis
            reportedPerSecond += (observedPerSecond - reportedPerSecond) * weight
            arrivals = 0
        }

        fun renewGrant() {
            beyondGrantCount = 0
            grantTokens = maxOf(0.0, remainingTokens * ownShare * grantFraction)
        }
    }

    /** The bounds of the computation. */
    public companion object {
        /** The fraction of an allowance that all hosts share equally, whatever the demand. */
        public const val BASE_FRACTION: Double = 0.4

        /** [BASE_FRACTION] where all requests of a customer arrive at one host, except while that host changes. */
        public const val PLACED_BASE_FRACTION: Double = 0.05

        /** The longest time for which an allowance is refilled in one step. */
        public const val MAX_FILL_MILLIS: Long = 1_000

        /** The fraction of its share of the remainder that a host grants itself, as others may have used some of it. */
        private const val GRANT_FRACTION = 0.7

        /** How many requests may run beyond a grant, so that a share of less than one token can be used. */
        private const val MAX_BEYOND_GRANT = 2

        /** The most tokens by which all hosts together may briefly overdraw an allowance beyond their grants. */
        private const val MAX_OVERDRAFT_TOKENS = 15.0

        /**
         * The age of a host's last report above which the requests that it admits are not known: its next report is
         * late.
         */
        private const val OVERDUE_MILLIS = 300L

        /** How long to wait for the next grant. It comes soon, because hosts report early when they refuse. */
        private const val RENEWAL_MILLIS = 30L

        /**
         * The fraction of a burst that is given out. The rest covers what both sides of a network partition admit
         * before they notice it.
         */
        private const val CAPACITY_FRACTION = 0.8

        /** The lower bound of the capacity, of the largest grant and of the remainder for requests beyond a grant. */
        private const val MIN_TOKENS = 1.0

        /** The reporting interval from which on a measured demand replaces the smoothed one altogether. */
        private const val SMOOTHING_MILLIS = 600.0

        /** The interval that the first report is taken to cover. */
        private const val FIRST_REPORT_MILLIS = 250L

        /** The demand below which a customer is left out of reports. */
        private const val MIN_REPORTED_PER_SECOND = 0.05
        private const val NO_RATE_RETRY_MILLIS = 1_000L
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
