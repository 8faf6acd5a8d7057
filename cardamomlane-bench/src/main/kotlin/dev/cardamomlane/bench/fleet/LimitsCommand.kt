package dev.cardamomlane.bench.fleet

import dev.cardamomlane.core.limits.Allowance
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import kotlin.math.ln
import kotlin.random.Random

/**
 * Compares ways to enforce a customer's rate and burst over all hosts, in simulated time.
 *
 * One reference bucket lets through only requests within the customer's rate and burst. Only these are offered to the
 * policies, so that each refusal is wrongful. Requests before [WARMUP_MILLIS] are not counted.
 */
@Command(name = "limits", mixinStandardHelpOptions = true, description = ["Wrongful refusals of limit policies."])
internal class LimitsCommand : Runnable {
    @Option(names = ["--hosts"], description = ["Number of hosts"])
    private var hosts = 8

    @Option(names = ["--seed"], description = ["Seed of the load"])
    private var seed = 1L

    override fun run() {
        println("hosts $hosts, seed $seed, load 0.9 of the rate, wrongful refusals in % (messages per request)")
        println(
            "%-22s %-9s %16s %16s %16s %16s".format("limit", "load on", "fixed", "owner", "lent", "lent, hold 50ms"),
        )
        for (limit in LIMITS) {
            for (skew in Skew.entries) printRow(limit, skew, kill = false)
            printRow(limit, Skew.EVEN, kill = true)
        }
    }

    private fun printRow(limit: Allowance, skew: Skew, kill: Boolean) {
        val cells = listOf<(EventQueue) -> LimitPolicy>(
            { FixedShares(it, hosts, limit) },
            { OwnerGrants(it, limit) },
            { LentShares(it, hosts, limit, holdMillis = 0) },
            { LentShares(it, hosts, limit, holdMillis = 50) },
        ).map { measure(limit, skew, kill, it) }
        val name = "${limit.ratePerSecond.toInt()}/s burst ${limit.burst.toInt()}"
        val load = if (kill) "1 dead" else skew.name.lowercase()
        println("%-22s %-9s %16s %16s %16s %16s".format(name, load, cells[0], cells[1], cells[2], cells[3]))
    }

    private fun measure(limit: Allowance, skew: Skew, kill: Boolean, policyOf: (EventQueue) -> LimitPolicy): String {
        val queue = EventQueue()
        val random = Random(seed)
        val policy = policyOf(queue)
        val reference = TokenBucket(limit)
        var offered = 0
        var refused = 0
        var killed: Int? = null
        if (kill) queue.after(KILL_MILLIS) { killed = policy.killHolder() }

        fun scheduleNext() {
            val meanMillis = MILLIS_PER_SECOND / (limit.ratePerSecond * LOAD_FRACTION)
            queue.after((-ln(1 - random.nextDouble()) * meanMillis).toLong()) {
                val chosen = skew.host(random, queue.nowMillis, hosts)
                val host = if (chosen == killed) (chosen + 1) % hosts else chosen
                if (reference.take(queue.nowMillis)) {
                    val isCounted = queue.nowMillis > WARMUP_MILLIS
                    if (isCounted) offered++
                    policy.request(host) { isAdmitted -> if (!isAdmitted && isCounted) refused++ }
                }
                scheduleNext()
            }
        }
        scheduleNext()
        queue.runUntil(RUN_MILLIS)
        return "%.2f (%.1f)".format(PERCENT * refused / offered, policy.messages.toDouble() / offered)
    }

    private companion object {
        val LIMITS = listOf(Allowance(5.0, 3.0), Allowance(20.0, 10.0), Allowance(200.0, 400.0))
        const val LOAD_FRACTION = 0.9
        const val WARMUP_MILLIS = 10_000L
        const val KILL_MILLIS = 60_000L
        const val RUN_MILLIS = 310_000L
        const val MILLIS_PER_SECOND = 1000.0
        const val PERCENT = 100.0
    }
}
