package dev.cardamomlane.engine.zone

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.targetEntry
import kotlinx.collections.immutable.toImmutableMap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WarmUpTest {
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")
    private val none = ZoneDrains.of(StorePosition(1, 1), emptyList())
    private var turn = 0
    private val startsMillis = ArrayList<Long>()

    private fun fixture(hostCount: Int, perSecond: Int, warmUpMillis: Long = 0, reportedMillis: Long = 0): HostFixture {
        val fixture = HostFixture(
            hostCount = hostCount,
            features = Features(drainsZones = true),
            entries = listOf(targetEntry("p", isPrimary = true, zone = "x", warmUpMillis = reportedMillis)),
            drains = none,
            warmUpMillis = warmUpMillis,
            warmUpPerSecond = perSecond,
        )
        fixture.hosts.forEach { it.configure(withManyCustomers(fixture.configuration(version = 1))) }
        fixture.targets.onRun = { _, _ -> startsMillis += fixture.timers.nowMillis() }
        return fixture
    }

    /** Many customers, so that every member serves some. */
    private fun withManyCustomers(base: Configuration) = Configuration(
        version = 2,
        routes = base.routes,
        customersByKey = KEYS.associateWith { Customer(CustomerId(it), allowance = null) }.toImmutableMap(),
        groups = base.groups,
        transactionIdleMillis = base.transactionIdleMillis,
    )

    /** Each host gets a write every 20 ms for [millis], far more than a target that warms up may run. */
    private fun load(fixture: HostFixture, millis: Long) = repeat((millis / STEP_MILLIS).toInt()) {
        for (host in fixture.hosts) {
            val caller = FakeCaller()
            val session = host.openSession(caller, "latest", KEYS[turn++ % KEYS.size])
            if (caller.isOpened) session.onStatement("s", write)
        }
        fixture.timers.advance(STEP_MILLIS)
    }

    private fun mostInOneSecond(): Int = startsMillis.maxOfOrNull { from ->
        startsMillis.count { it in from until from + 1_000 }
    } ?: 0

    /** Guards against members that each send at the whole rate, and against a rate that is not used. */
    @Test
    fun `all members together send a target that warms up no more than the rate and its tolerance`() {
        for (perSecond in listOf(3, 30, 90)) {
            startsMillis.clear()
            val fixture = fixture(hostCount = 9, perSecond = perSecond, reportedMillis = 60_000)

            load(fixture, millis = 4_000)

            val most = mostInOneSecond()
            assertTrue(most <= perSecond * EXCESS_RATIO + SLACK, "$most in a second at a rate of $perSecond")
            assertTrue(startsMillis.size >= perSecond * 4 / 3, "${startsMillis.size} in 4 s at a rate of $perSecond")
        }
    }

    /** Guards against a target that gets its whole load at once when its zone returns. */
    @Test
    fun `a target that leaves a drained zone warms up, and then takes its whole load`() {
        val fixture = fixture(hostCount = 3, perSecond = 30, warmUpMillis = 3_000)
        load(fixture, millis = 500)
        fixture.hosts.forEach { it.updateDrains(ZoneDrains.of(StorePosition(1, 2), listOf("x"))) }
        load(fixture, millis = 3_000)
        startsMillis.clear()

        fixture.hosts.forEach { it.updateDrains(ZoneDrains.of(StorePosition(1, 3), emptyList())) }
        load(fixture, millis = 2_900)
        val most = mostInOneSecond()
        startsMillis.clear()
        load(fixture, millis = 2_000)

        assertTrue(most in 10..50, "$most in a second")
        assertTrue(mostInOneSecond() > 50, "${mostInOneSecond()} in a second after the warm-up")
    }

    @Test
    fun `without a rate a target that warms up is not held back`() {
        val fixture = fixture(hostCount = 3, perSecond = 0, reportedMillis = 60_000)

        load(fixture, millis = 1_000)

        assertTrue(mostInOneSecond() > 100, "${mostInOneSecond()} in a second")
    }

    /** Guards against a sum over members above the rate, and against a rate that no member uses. */
    @Test
    fun `the shares of the members never exceed the rate together, and never vanish`() {
        for (count in 1..9) {
            val members = (1..count).map { "host-$it" }.toSet()
            for (rate in 1..40) {
                val sum = members.sumOf { WarmUpShare.of(rate, members, it) }
                assertTrue(sum in 1..rate, "$sum of $rate with $count members")
            }
        }
        assertEquals(5, WarmUpShare.of(5, setOf("a", "b", "c", "d", "e", "f"), "a"))
        assertEquals(0, WarmUpShare.of(5, setOf("a", "b", "c", "d", "e", "f"), "b"))
    }

    private companion object {
        const val STEP_MILLIS = 20L
        val KEYS = List(100) { "customer-$it" }

        /** The operators' tolerance in any second: `coldExcess` times the rate plus `coldSlack`. */
        const val EXCESS_RATIO = 1.5
        const val SLACK = 5
    }
}
