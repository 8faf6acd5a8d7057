package dev.cardamomlane.bench.fleet

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.history.CustomerRate
import dev.cardamomlane.bench.history.History
import dev.cardamomlane.bench.history.RateBound
import dev.cardamomlane.bench.load.ArrivalPlan
import dev.cardamomlane.bench.load.CustomerLoad
import dev.cardamomlane.bench.load.OpenLoop
import dev.cardamomlane.bench.load.Sample
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.store.Revision

/**
 * Checks a running fleet in phases: the time until a revision is in force, the load of one customer on one host only, a
 * load above the rate, and the withdrawal of a key.
 */
internal class FleetCheck(
    private val endpoints: Endpoints,
    private val revisionMonitor: RevisionMonitor,
    private val seed: Int,
    private val seconds: Int,
) {
    private val proposer = RevisionProposer(endpoints)
    private val violations = ArrayList<String>()
    private val overRateCustomer = endpoints.customers.last()
    private val skewedCustomer = endpoints.customers[endpoints.customers.size - 2]

    /** Runs all phases, blocks, and returns one line for each violation. */
    fun run(): List<String> {
        revisionMonitor.start()
        checkInForceDelay()
        checkSkewedLoad()
        checkOverRate()
        checkWithdrawal()
        violations += revisionMonitor.reverts
        return violations
    }

    private fun checkInForceDelay() {
        val times =
            List(IN_FORCE_ROUNDS) { inForceMillis { it.copy(rulesText = "${it.rulesText}\n# Round of fleetcheck.\n") } }
        println("apply to in force on all hosts, ms: ${times.joinToString { it?.toString() ?: "over $LIMIT_MILLIS" }}")
        if (null in times) violations += "a revision was not in force everywhere within $LIMIT_MILLIS ms"
    }

    private fun checkSkewedLoad() {
        val limit = limitOf(skewedCustomer)
        val rate = limit.ratePerSecond * SKEWED_RATE_FRACTION
        val samples = load(CustomerLoad(skewedCustomer, rate, writeFraction = 0.0, daemonIndex = 0))
        val refused = samples.count { it.isRateRefusal }
        println("skewed onto one host: ${samples.size} at $rate/s inside the rate, $refused wrongly refused")
        val percent = 100.0 * refused / samples.size
        if (percent > MAX_WRONGFUL_PERCENT) violations += "%.2f %% wrongful refusals, skewed load".format(percent)
        checkRateBound(skewedCustomer, limit, samples)
    }

    private fun checkOverRate() {
        val limit = limitOf(overRateCustomer)
        val samples = load(CustomerLoad(overRateCustomer, limit.ratePerSecond * OVER_RATE_FACTOR, writeFraction = 0.0))
        println(
            "flood over all hosts: ${samples.size} offered, ${samples.count {
                it.isRateRefusal
            }} refused for the rate",
        )
        checkRateBound(overRateCustomer, limit, samples)
    }

    private fun checkWithdrawal() {
        val keys = proposer.accepted().keys
        val served = KeyWithdrawal(endpoints, overRateCustomer).measure(WITHDRAW_MEASURE_MILLIS) {
            proposer.propose { it.copy(keys = proposer.keysWithout(it, overRateCustomer.name)) }
        }
        println(
            "withdraw to last served, ms by host: ${served.values.joinToString {
                it?.toString() ?: "still served"
            }}",
        )
        served.filterValues { it == null || it > LIMIT_MILLIS }.keys.forEach {
            violations += "$it served a withdrawn key for more than $LIMIT_MILLIS ms"
        }
        if (inForceMillis { it.copy(keys = keys) } == null) violations += "the key was not granted again everywhere"
    }

    private fun checkRateBound(customer: CustomerKey, limit: CustomerRate, samples: List<Sample>) {
        val bound = RateBound(mapOf(customer.name to limit))
        val history = History(samples.map { it.toOperation(endpoints.daemons) }, finalRows = emptyMap())
        bound.maxExcessWindows(history)[customer.name]?.let {
            val excess = "%.1f".format(it.excess)
            println(
                "highest window of ${customer.name}: ${it.admitted} in ${it.lengthMicros / 1_000} ms, $excess above its bound",
            )
        }
        bound.violations(history).forEach { violations += it.toString() }
    }

    /** Proposes a revision. Returns the time until all hosts have it in force, or null after [LIMIT_MILLIS]. */
    private fun inForceMillis(change: (Revision) -> Revision): Long? {
        val startNanos = System.nanoTime()
        val revision = proposer.propose(change)
        if (!revisionMonitor.await(revision, LIMIT_MILLIS)) return null
        return (System.nanoTime() - startNanos) / 1_000_000
    }

    private fun load(load: CustomerLoad): List<Sample> {
        val arrivals = ArrivalPlan(
            endpoints,
            seed,
            name = "fleetcheck.${System.nanoTime()}",
        ).draw(listOf(load), seconds)
        return OpenLoop(endpoints, threadsPerCustomer = THREADS_PER_CUSTOMER).run(arrivals)
    }

    private fun limitOf(customer: CustomerKey): CustomerRate {
        val limit = checkNotNull(proposer.rules().limits[CustomerId(customer.name)]) { "${customer.name} has no limit" }
        return CustomerRate(limit.ratePerSecond, limit.burst)
    }

    private companion object {
        const val IN_FORCE_ROUNDS = 3

        /** The time within which a proposal, also one that withdraws a key, must be in force on all hosts. */
        const val LIMIT_MILLIS = 5_000L

        /** Longer than [LIMIT_MILLIS], so that a late withdrawal is measured too. */
        const val WITHDRAW_MEASURE_MILLIS = 15_000L
        const val SKEWED_RATE_FRACTION = 0.8
        const val OVER_RATE_FACTOR = 10.0
        const val MAX_WRONGFUL_PERCENT = 0.1
        const val THREADS_PER_CUSTOMER = 64
    }
}
