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

/** The phases of a fleet check. */
internal class FleetCheck(
    private val endpoints: Endpoints,
    private val watch: RevisionWatch,
    private val seed: Int,
    private val seconds: Int,
) {
    private val applier = RevisionApplier(endpoints)
    private val violations = ArrayList<String>()
    private val flooder = endpoints.customers.last()
    private val skewed = endpoints.customers[endpoints.customers.size - 2]

    /** Returns one line for each violation. */
    fun run(): List<String> {
        watch.start()
        checkApply()
        checkSkewedLoad()
        checkFlood()
        checkWithdrawal()
        violations += watch.reverts
        return violations
    }

    private fun checkApply() {
        val times =
            List(APPLY_ROUNDS) { applyMillis { it.copy(rulesText = "${it.rulesText}\n# Round of fleetcheck.\n") } }
        println("apply to in force on all hosts, ms: ${times.joinToString { it?.toString() ?: "over $LIMIT_MILLIS" }}")
        if (null in times) violations += "a revision was not in force everywhere within $LIMIT_MILLIS ms"
    }

    private fun checkSkewedLoad() {
        val limit = limitOf(skewed)
        val rate = limit.ratePerSecond * INSIDE_PART
        val samples = load(CustomerLoad(skewed, rate, writePart = 0.0, daemonIndex = 0))
        val refused = samples.count { it.isRateRefusal }
        println("skewed onto one host: ${samples.size} at $rate/s inside the rate, $refused wrongly refused")
        val percent = 100.0 * refused / samples.size
        if (percent > MAX_WRONGFUL_PERCENT) violations += "%.2f %% wrongful refusals, skewed load".format(percent)
        checkBound(skewed, limit, samples)
    }

    private fun checkFlood() {
        val limit = limitOf(flooder)
        val samples = load(CustomerLoad(flooder, limit.ratePerSecond * FLOOD_FACTOR, writePart = 0.0))
        println(
            "flood over all hosts: ${samples.size} offered, ${samples.count {
                it.isRateRefusal
            }} refused for the rate",
        )
        checkBound(flooder, limit, samples)
    }

    private fun checkWithdrawal() {
        val keys = applier.accepted().keys
        val served = KeyWithdrawal(endpoints, flooder).measure(WITHDRAW_LIMIT_MILLIS) {
            applier.propose { it.copy(keys = applier.keysWithout(it, flooder.name)) }
        }
        println(
            "withdraw to last served, ms by host: ${served.values.joinToString {
                it?.toString() ?: "still served"
            }}",
        )
        served.filterValues { it == null || it > LIMIT_MILLIS }.keys.forEach {
            violations += "$it served a withdrawn key for more than $LIMIT_MILLIS ms"
        }
        if (applyMillis { it.copy(keys = keys) } == null) violations += "the key was not granted again everywhere"
    }

    private fun checkBound(customer: CustomerKey, limit: CustomerRate, samples: List<Sample>) {
        val bound = RateBound(mapOf(customer.name to limit))
        val history = History(samples.map { it.toOperation(endpoints.daemons) }, finalRows = emptyMap())
        bound.highestWindows(history)[customer.name]?.let {
            val excess = "%.1f".format(it.excess)
            println(
                "highest window of ${customer.name}: ${it.admitted} in ${it.lengthMicros / 1_000} ms, $excess above its bound",
            )
        }
        bound.violations(history).forEach { violations += it.toString() }
    }

    private fun applyMillis(change: (Revision) -> Revision): Long? {
        val startNanos = System.nanoTime()
        val revision = applier.propose(change)
        if (!watch.await(revision, LIMIT_MILLIS)) return null
        return (System.nanoTime() - startNanos) / 1_000_000
    }

    private fun load(load: CustomerLoad): List<Sample> {
        val arrivals = ArrivalPlan(
            endpoints,
            seed,
            name = "fleetcheck.${System.nanoTime()}",
        ).draw(listOf(load), seconds)
        return OpenLoop(endpoints, threadsPerCustomer = THREADS).run(arrivals)
    }

    private fun limitOf(customer: CustomerKey): CustomerRate {
        val limit = checkNotNull(applier.rules().limits[CustomerId(customer.name)]) { "${customer.name} has no limit" }
        return CustomerRate(limit.ratePerSecond, limit.burst)
    }

    private companion object {
        const val APPLY_ROUNDS = 3
        const val LIMIT_MILLIS = 5_000L
        const val WITHDRAW_LIMIT_MILLIS = 15_000L
        const val INSIDE_PART = 0.8
        const val FLOOD_FACTOR = 10.0
        const val MAX_WRONGFUL_PERCENT = 0.1
        const val THREADS = 64
    }
}
