package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import kotlinx.collections.immutable.toImmutableMap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Many small customers, each with sessions at hosts all over the fleet, so that no host sees much of any of them. */
class CustomerPlacementTest {
    private val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
    private val keys = List(CUSTOMERS) { "key-$it" }
    private val sessions = HashMap<Pair<String, Int>, Pair<FakeCaller, dev.cardamomlane.engine.session.CallerSession>>()

    init {
        fixture.targets.target("p").answersInMillis = 2
        fixture.hosts.forEach { it.configure(configuration(version = 2)) }
    }

    private fun configuration(version: Long): Configuration {
        val base = fixture.configuration(version)
        val customers = keys.associateWith {
            Customer(CustomerId("c-$it"), Allowance(RATE_PER_SECOND, RATE_PER_SECOND))
        }
        return Configuration(
            version = version,
            routes = base.routes,
            customersByKey = customers.toImmutableMap(),
            groups = base.groups,
            transactionIdleMillis = base.transactionIdleMillis,
        )
    }

    private fun send(key: String, host: Int) {
        val (_, session) = sessions.getOrPut(key to host) {
            val caller = FakeCaller()
            caller to fixture.hosts[host].openSession(caller, "latest", key)
        }
        session.onStatement("id", Statement.Run(Access.READ, "READ 1"))
    }

    /** Lets each customer send its usual demand, a bit over half of its rate, at hosts in turn. */
    private fun run(seconds: Int, hosts: List<Int>): Int {
        val before = refusedCount()
        repeat(seconds * TURNS_PER_SECOND) { turn ->
            for ((index, key) in keys.withIndex()) send(key, hosts[(turn * 7 + index * 3) % hosts.size])
            fixture.timers.advance(1_000L / TURNS_PER_SECOND)
        }
        return refusedCount() - before
    }

    private fun refusedCount() = sessions.values.sumOf { (caller, _) -> caller.answers.count { it.error != null } }

    @Test
    fun `small customers within their rates are refused nothing, wherever their sessions are`() {
        run(seconds = 2, hosts = fixture.hosts.indices.toList())

        val refused = run(seconds = 10, hosts = fixture.hosts.indices.toList())

        assertEquals(0, refused)
    }

    @Test
    fun `a member's planned stop costs its customers almost nothing`() {
        run(seconds = 3, hosts = fixture.hosts.indices.toList())
        val member = fixture.store.seats.first().member.name.removePrefix("host-").toInt()
        val others = fixture.hosts.indices.filter { it != member }

        fixture.hosts[member].stop(StopTimes(graceMillis = 5_000), stopAccepting = {}) {}
        val refused = run(seconds = 5, hosts = others)

        assertTrue(refused <= 2, "$refused of ${5 * TURNS_PER_SECOND * CUSTOMERS} refused")
    }

    private companion object {
        const val HOSTS = 20
        const val CUSTOMERS = 12
        const val RATE_PER_SECOND = 8.0
        const val TURNS_PER_SECOND = 5
    }
}
