package dev.cardamomlane.bench.fleet

import kotlin.random.Random

/** How a customer's requests are spread over the hosts. */
internal enum class Skew {
    /** Each request goes to a random host. */
    EVEN,

    /** All requests go to one host. */
    ONE_HOST,

    /** All requests go to one host, the next one after each [MOVE_MILLIS]. */
    MOVING,

    /** The n-th host gets requests in proportion to 1/n. */
    ZIPF,
    ;

    /** Chooses the host of one request. */
    fun host(random: Random, nowMillis: Long, hosts: Int): Int = when (this) {
        EVEN -> random.nextInt(hosts)
        ONE_HOST -> hosts - 1
        MOVING -> (nowMillis / MOVE_MILLIS % hosts).toInt()
        ZIPF -> zipf(random, hosts)
    }

    private fun zipf(random: Random, hosts: Int): Int {
        val weights = (1..hosts).map { 1.0 / it }
        var left = random.nextDouble() * weights.sum()
        return weights.indexOfFirst { weight ->
            left -= weight
            left <= 0
        }.coerceAtLeast(0)
    }

    private companion object {
        const val MOVE_MILLIS = 3_000L
    }
}
