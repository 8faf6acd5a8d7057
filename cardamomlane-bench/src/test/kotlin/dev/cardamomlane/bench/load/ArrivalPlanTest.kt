package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.Endpoints
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ArrivalPlanTest {
    private val customers = listOf(CustomerKey("a", "k"), CustomerKey("b", "k"))
    private val daemons = List(2) { DaemonEndpoint("host-$it", "", "", pid = 0) }
    private val endpoints = Endpoints("press", daemons, listOf("db-1", "db-2"), customers, "", "")
    private val loads = customers.map { CustomerLoad(it, ratePerSecond = 100.0) }

    @Test
    fun `the same seed draws the same arrivals in order of time`() {
        val first = ArrivalPlan(endpoints, seed = 5, name = "n").draw(loads, seconds = 10)

        assertEquals(first, ArrivalPlan(endpoints, seed = 5, name = "n").draw(loads, seconds = 10))
        assertEquals(first.sortedBy { it.atMicros }, first)
        assertTrue(first.size in 1_800..2_200, "drew ${first.size}")
        assertEquals(first.size, first.map { it.statement }.distinct().size)
    }

    @Test
    fun `a load with a daemon index goes to that daemon only`() {
        val skewed = loads.map { it.copy(daemonIndex = 1) }

        assertEquals(
            setOf(1),
            ArrivalPlan(endpoints, seed = 5, name = "n").draw(skewed, seconds = 1).map {
                it.daemonIndex
            }.toSet(),
        )
    }
}
