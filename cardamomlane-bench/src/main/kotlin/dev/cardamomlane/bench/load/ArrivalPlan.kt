package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.Endpoints
import kotlin.math.ln
import kotlin.random.Random

/**
 * Draws the arrivals of an open loop from a seed.
 *
 * @param name the prefix of the names of all statements
 */
internal class ArrivalPlan(private val endpoints: Endpoints, private val seed: Int, private val name: String) {
    /** The arrivals of all [loads] within [seconds], in order of time. */
    fun draw(loads: List<CustomerLoad>, seconds: Int): List<Arrival> =
        loads.flatMapIndexed { index, load -> drawLoad(index, load, seconds) }.sortedBy { it.atMicros }

    private fun drawLoad(index: Int, load: CustomerLoad, seconds: Int): List<Arrival> {
        val random = Random(seed * SEED_STRIDE + index)
        val arrivals = ArrayList<Arrival>()
        var atMicros = nextGap(random, load)
        while (atMicros < seconds * 1e6) {
            arrivals +=
                Arrival(
                    atMicros = atMicros.toLong(),
                    customer = load.customer,
                    database = endpoints.databases.random(random),
                    daemonIndex = load.daemonIndex ?: random.nextInt(endpoints.daemons.size),
                    kind = if (random.nextDouble() < load.writeFraction) ArrivalKind.WRITE else ArrivalKind.READ,
                    statement = "$name.$index.${arrivals.size}",
                )
            atMicros += nextGap(random, load)
        }
        return arrivals
    }

    private fun nextGap(random: Random, load: CustomerLoad): Double =
        -ln(1 - random.nextDouble()) * 1e6 / load.ratePerSecond

    private companion object {
        const val SEED_STRIDE = 100
    }
}
