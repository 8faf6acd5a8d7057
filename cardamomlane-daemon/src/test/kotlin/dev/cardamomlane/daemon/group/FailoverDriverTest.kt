package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus
import dev.cardamomlane.daemon.settings.DatabaseSettings
import dev.cardamomlane.daemon.settings.TargetSettings
import dev.cardamomlane.store.MemoryPlatformTable
import dev.cardamomlane.store.PlatformTable
import kotlinx.collections.immutable.toImmutableList
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.test.scheduler.VirtualTimeScheduler
import java.net.InetSocketAddress
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class FailoverDriverTest {
    private val time = VirtualTimeScheduler.create()
    private val names = listOf("a", "b", "c").map(::TargetId)
    private val targets = names.associateWith { MemoryTargetControl(it, primary = names.first()) }
    private val a = targets.getValue(names.first())
    private val groups = ArrayList<MonitoredDatabaseGroup>()

    private inner class Peers(private val host: Int) : PeerMessenger {
        private val others get() = groups.filterIndexed { index, _ -> index != host }

        override fun peerCount(): Int = others.size

        override fun askViews(database: DatabaseId, timeoutMillis: Long): Flux<PeerView> =
            Flux.defer { Flux.fromIterable(others.map { it.peerView() }) }

        override fun announceTerm(database: DatabaseId, term: Long, primary: TargetId) =
            others.forEach { it.onNewTerm(term, primary) }
    }

    private fun start(
        table: PlatformTable = MemoryPlatformTable(),
        control: (TargetId) -> TargetControl = targets::getValue,
    ) {
        val zone = AvailabilityZone("kranj")
        val address = InetSocketAddress("127.0.0.1", 1)
        val settings = names.map { TargetSettings(it, zone, address, slots = 5, connections = 35) }.toImmutableList()
        repeat(2) { host ->
            val factory = GroupFactory(
                HostId("host-$host"),
                zone,
                table,
                Peers(host),
                VirtualTimers(time),
                time,
            ) { _, target -> control(target.name) }
            groups += factory.create(DatabaseSettings(DatabaseId("orders-1"), settings)).also { it.start() }
        }
        advance(500)
    }

    private fun advance(millis: Long) {
        repeat((millis / 10).toInt()) { time.advanceTimeBy(Duration.ofMillis(10)) }
    }

    private fun write(group: MonitoredDatabaseGroup): RouteChoice =
        group.choose(RouteRequest(write = true, LogPosition.START, null, emptySet()) { 0 })

    private fun assertFailover() {
        a.isPartitioned = true
        advance(2_000)
        for (group in groups) {
            val use = assertIs<RouteChoice.Use>(write(group))
            assertEquals(2, use.term)
            assertTrue(use.target != a.target)
        }
    }

    @Test
    fun `writes move to a new primary, and the old one follows it once it is back`() {
        start()
        assertEquals(a.target, assertIs<RouteChoice.Use>(write(groups.first())).target)
        assertFailover()

        a.isPartitioned = false
        advance(1_000)
        assertEquals(TargetRole.REPLICA, a.status.role)
        assertEquals(groups.first().view().primary, a.status.following)
    }

    @Test
    fun `a platform that does not answer delays a failover but does not prevent it`() {
        val table = MemoryPlatformTable()
        val silent = object : PlatformTable by table {
            override fun get(key: String) = Mono.never<dev.cardamomlane.store.Row>()
        }
        start(silent)
        assertFailover()
    }

    @Test
    fun `a primary that is silent on its kept connection and answers on new ones is not replaced`() {
        var silent = false
        start { name ->
            val control = targets.getValue(name)
            object : TargetControl by control {
                override fun status(newConnection: Boolean): Mono<TargetStatus> =
                    if (silent && !newConnection) Mono.never() else control.status(newConnection)
            }
        }
        silent = true
        advance(5_000)
        assertEquals(listOf(1L, 1L), groups.map { it.view().term })
    }

    @Test
    fun `a primary that answers late is not replaced`() {
        start { name ->
            val control = targets.getValue(name)
            object : TargetControl by control {
                // Later than pollTimeoutMillis, but sooner than lateAnswerMillis.
                override fun status(newConnection: Boolean): Mono<TargetStatus> = control.status(newConnection)
                    .delayElement(Duration.ofMillis(if (name == a.target) 350 else 1), time)
            }
        }
        advance(5_000)
        assertEquals(listOf(1L, 1L), groups.map { it.view().term })
    }

    @Test
    fun `a minimum position needs a majority`() {
        start()
        a.isPartitioned = true
        val positions = ArrayList<LogPosition>()
        groups.first().minimumPosition().subscribe(positions::add)
        advance(20)
        assertEquals(listOf(LogPosition(1, 1)), positions)

        targets.values.forEach { it.isPartitioned = true }
        val failures = ArrayList<Throwable>()
        groups.first().minimumPosition().subscribe(positions::add, failures::add)
        advance(1_500)
        assertEquals(1 to 1, positions.size to failures.size)
    }

    // A target whose poll threw kept the targets after it from being polled, so that its failure was not even seen.
    @Test
    fun `a target whose poll fails at once is replaced, and followed up once it answers`() {
        var broken = false
        start { name ->
            val control = targets.getValue(name)
            object : TargetControl by control {
                override fun status(newConnection: Boolean): Mono<TargetStatus> =
                    if (broken && name == a.target) throw StackOverflowError() else control.status(newConnection)
            }
        }
        broken = true
        a.isPartitioned = true
        advance(3_000)
        for (group in groups) assertEquals(2, assertIs<RouteChoice.Use>(write(group)).term)

        broken = false
        a.isPartitioned = false
        // Before a later takeover, which these targets cause because they do not replicate.
        advance(300)
        assertEquals(groups.first().view().primary, a.status.following)
    }
}
