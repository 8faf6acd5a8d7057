package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.engine.config.Configuration
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.Statement
import kotlinx.collections.immutable.toImmutableMap
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** One hot customer whose callers are at all hosts, at about four times its rate, with and without the switch. */
class RateLimitTest {
    private class Load(features: Features, hostCount: Int) {
        val fixture = HostFixture(hostCount, settleMillis = 3_000, features = features)
        val answers = HashMap<String, ArrayList<FakeCaller>>()
        private val sessions = ArrayList<Triple<String, FakeCaller, CallerSession>>()

        init {
            fixture.targets.target("p").answersInMillis = 2
            fixture.hosts.forEach { it.configure(configuration()) }
            for (host in fixture.hosts.indices) {
                for (database in DATABASES) {
                    val caller = FakeCaller()
                    answers.getOrPut(database) { ArrayList() } += caller
                    sessions += Triple(database, caller, fixture.hosts[host].openSession(caller, database, "key"))
                }
            }
            fixture.timers.advance(100)
        }

        private fun configuration(): Configuration {
            val base = fixture.configuration(version = 2)
            val routes = DATABASES.withIndex().associate { (priority, name) ->
                name to base.routes.getValue(name).copy(priority = priority)
            }
            return Configuration(
                version = 2,
                routes = routes.toImmutableMap(),
                customersByKey = mapOf("key" to Customer(CustomerId("press"), Allowance(RATE, RATE))).toImmutableMap(),
                groups = base.groups,
                transactionIdleMillis = base.transactionIdleMillis,
            )
        }

        /** Each turn of 20 ms sends one operation of each database, at the hosts in turn, and one more of the last. */
        fun run(millis: Long) {
            repeat((millis / TURN_MILLIS).toInt()) { turn ->
                val host = turn * 7 % fixture.hosts.size
                for (index in DATABASES.indices) send(host, index)
                send((host + 1) % fixture.hosts.size, DATABASES.size - 1)
                fixture.timers.advance(TURN_MILLIS)
            }
        }

        private fun send(host: Int, index: Int) {
            sessions[host * DATABASES.size + index].third.onStatement("id", Statement.Run(Access.READ, "READ 1"))
        }

        fun served(database: String) = answers.getValue(database).sumOf { each ->
            each.answers.count { it.error == null }
        }

        fun refused(database: String) = answers.getValue(database).flatMap { it.answers }.mapNotNull { it.error }
    }

    private val on = Features(schedulesByValue = true)

    @Test
    fun `urgent operations of a hot customer are served before others, and a refused one says that it never ran`() {
        val before = Load(Features.NONE, hostCount = 1).also { it.run(5_000) }
        val after = Load(on, hostCount = 1).also { it.run(5_000) }

        println("database  served before  after")
        for (name in DATABASES) println("%-9s %13d %6d".format(name, before.served(name), after.served(name)))
        assertTrue(after.served("latest") > before.served("latest") * 1.5, "latest: ${after.served("latest")}")
        assertTrue(after.fixture.hosts[0].refusedByPriorityCount > 0)
        assertEquals(0, before.fixture.hosts[0].refusedByPriorityCount)
        val refusals = after.refused("bounded")
        assertEquals(setOf(ErrorCode.BUSY), refusals.map { it.code }.toSet())
        assertTrue(refusals.all { "not run, retry after" in it.text })
    }

    @Test
    fun `refusals of a customer that one member serves cause no early heartbeats`() {
        val counts = listOf(Features.NONE, on).map { features ->
            val load = Load(features, hostCount = 3)
            load.run(1_000)
            load.fixture.datagramCounts.clear()
            load.run(4_000)
            load.fixture.datagramCounts.values.sum()
        }
        val quiet = HostFixture(hostCount = 3, settleMillis = 3_000)
        quiet.datagramCounts.clear()
        quiet.timers.advance(4_000)
        val quietCount = quiet.datagramCounts.values.sum()

        println("datagrams in 4 s: quiet $quietCount, before ${counts[0]}, after ${counts[1]}")
        assertTrue(counts[0] > quietCount * 1.3, "the load causes early heartbeats without the switch: $counts")
        assertTrue(counts[1] <= quietCount * 1.1, "after: ${counts[1]}, quiet: $quietCount")
    }

    @Test
    fun `hosts without a seat refuse operations by hint, and with the switch off forward everything`() {
        val loads = listOf(Features.NONE, on).map { features -> Load(features, hostCount = 12).also { it.run(5_000) } }
        val (before, after) = loads.map { load -> load.fixture.links.requestCounts.values.sum() }
        val refusedByHint = loads.map { load -> load.fixture.hosts.sumOf { it.refusedByHintCount } }

        println("forwarded before $before, after $after; refused by hint $refusedByHint")
        for (name in DATABASES) println("%-9s %13d %6d".format(name, loads[0].served(name), loads[1].served(name)))
        assertEquals(0, refusedByHint[0])
        assertTrue(after < before, "forwarded before $before, after $after")
        assertTrue(refusedByHint[1] > 0)
        assertTrue(loads[1].served("latest") > loads[0].served("latest") * 1.5)
        assertTrue(loads[1].refused("bounded").all { it.code == ErrorCode.BUSY && "not run, retry after" in it.text })
    }

    /** Guards against an operation that waits for the rate of one customer and then runs in the name of another's key. */
    @Test
    fun `an operation that waits for its rate is not run when its key has another customer by then`() {
        for (holder in listOf("press", "guild", null)) {
            val fixture = HostFixture()
            fixture.hosts[0].configure(slowConfiguration(fixture, version = 2, holder = "press"))
            val caller = FakeCaller()
            val session = fixture.open(caller)
            val names = ArrayList<String>()
            fixture.targets.onBegin = { link, _, _ -> names += link.customerName }
            repeat(MOST_WAITING) { session.onStatement("r$it", Statement.Run(Access.READ, "READ $it")) }
            fixture.timers.advance(20)
            val runBefore = names.size
            assertTrue(caller.answers.size < MOST_WAITING, "no operation waits for its rate")

            fixture.hosts[0].configure(slowConfiguration(fixture, version = 3, holder))
            fixture.timers.advance(80)

            val next = caller.answers[runBefore]
            assertEquals(holder == "press", next.error == null, "$holder: ${next.error}")
            val name = holder ?: CallerSession.ANONYMOUS_CUSTOMER
            assertTrue(names.drop(runBefore).all { it == name }, "$holder: $names")
        }
    }

    /** Two operations at once, and one every 50 ms. */
    private fun slowConfiguration(fixture: HostFixture, version: Long, holder: String?): Configuration {
        val base = fixture.configuration(version)
        val customer = holder?.let { Customer(CustomerId(it), Allowance(SLOW_RATE, 1.0)) }
        return Configuration(
            version = version,
            routes = base.routes.mapValues { (_, route) -> route.copy(isPublic = true) }.toImmutableMap(),
            customersByKey = listOfNotNull(customer).associateBy { "key" }.toImmutableMap(),
            groups = base.groups,
            transactionIdleMillis = base.transactionIdleMillis,
        )
    }

    private companion object {
        const val SLOW_RATE = 20.0
        const val MOST_WAITING = 5
        const val RATE = 50.0
        const val TURN_MILLIS = 20L
        val DATABASES = listOf("latest", "session", "bounded")
    }
}
