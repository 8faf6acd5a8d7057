package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.config.GroupPolicy
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.log.TrafficKind
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import kotlinx.collections.immutable.toImmutableMap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Counts the bytes that hosts send each other: nine members and three other hosts, six groups of three targets, and 71
 * customers with sessions at all hosts. Guards against control traffic that grows unnoticed.
 */
class ControlTrafficTest {
    private val fixture = HostFixture(hostCount = HOSTS, settleMillis = 3_000)
    private val sessions = HashMap<Pair<Int, Int>, Pair<FakeCaller, CallerSession>>()

    init {
        for (group in 0 until GROUPS) fixture.targets.target("database-$group-a").isPrimary = true
        val entries = (0 until GROUPS).flatMap { group -> listOf("a", "b", "c").map { entry(group, it) } }
        for (host in fixture.hosts) {
            host.configure(configuration())
            host.updateTargets(entries, StorePosition(1, 2))
        }
        fixture.timers.advance(1_000)
    }

    private fun entry(group: Int, suffix: String) = targetEntry("database-$group-$suffix", isPrimary = suffix == "a")
        .copy(id = TargetId("database-$group-$suffix"), group = DatabaseId("service-$group"))

    private fun configuration(): Configuration {
        val base = fixture.configuration(version = 2)
        val groups = (0 until GROUPS).map { DatabaseId("service-$it") }
        val routes = groups.flatMapIndexed { index, group ->
            base.routes.values.map { it.copy(name = "${it.name}-$index", group = group) }
        }
        return Configuration(
            version = 2,
            routes = routes.associateBy { it.name }.toImmutableMap(),
            customersByKey = (0 until CUSTOMERS).associate {
                "key-of-customer-$it" to Customer(CustomerId("customer-$it"), Allowance(100.0, 100.0))
            }.toImmutableMap(),
            groups = groups.associateWith { GroupPolicy(it, 56, isReplicatedBeforeAcknowledged = false) }
                .toImmutableMap(),
            transactionIdleMillis = base.transactionIdleMillis,
        )
    }

    private fun send(customer: Int, host: Int, turn: Int) {
        val (_, session) = sessions.getOrPut(customer to host) {
            val caller = FakeCaller()
            val database = "latest-${(customer + host) % GROUPS}"
            caller to fixture.hosts[host].openSession(caller, database, "key-of-customer-$customer")
        }
        val isWrite = turn % WRITE_TURNS == 0
        val statement = if (isWrite) "WRITE ${writeCount++} x" else "READ $customer"
        session.onStatement("statement-$turn", Statement.Run(if (isWrite) Access.WRITE else Access.READ, statement))
    }

    private var writeCount = 0

    /** Lets every customer send one operation in each of [turns], at the hosts in turn. */
    private fun run(turns: Int) {
        repeat(turns) { turn ->
            for (customer in 0 until CUSTOMERS) send(customer, (turn * 7 + customer * 3) % HOSTS, turn)
            fixture.timers.advance(TURN_MILLIS)
        }
    }

    private fun meanBytes(kind: TrafficKind): Long =
        fixture.traffic.byteCount(kind) / maxOf(1, fixture.traffic.messageCount(kind))

    private fun describe(): String = TrafficKind.entries.joinToString("\n") {
        "${it.label}: ${fixture.traffic.messageCount(it)} messages, ${fixture.traffic.byteCount(it)} bytes, " +
            "mean ${meanBytes(it)}"
    }

    @Test
    fun `bytes by kind of message stay within their bounds under load`() {
        run(turns = 8)
        fixture.resetTraffic()

        run(turns = TURNS)

        println("10 s of load, $CUSTOMERS customers\n${describe()}")
        assertEquals(0, sessions.values.sumOf { (caller, _) -> caller.answers.count { it.error != null } })
        for ((kind, bound) in BOUNDS_BYTES) {
            assertTrue(
                meanBytes(kind) <= bound,
                "${kind.label} above $bound\n${describe()}",
            )
        }
    }

    private companion object {
        const val HOSTS = 12
        const val GROUPS = 6
        const val CUSTOMERS = 71
        const val TURN_MILLIS = 250L
        const val TURNS = 40
        const val WRITE_TURNS = 3

        /** The most bytes that a message of each kind may have on average, a little above the measured ones. */
        val BOUNDS_BYTES = mapOf(
            TrafficKind.HEARTBEAT to 120L,
            TrafficKind.MEMBER_LIST to 700L,
            TrafficKind.OPERATION_REQUEST to 75L,
            TrafficKind.OPERATION_ANSWER to 26L,
        )
    }
}
