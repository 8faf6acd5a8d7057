package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.core.failover.PrimaryReach
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.store.ConfigurationStore
import dev.cardamomlane.store.Draft
import dev.cardamomlane.store.MemoryPlatformTable
import dev.cardamomlane.store.PlatformTable
import dev.cardamomlane.store.Row
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import reactor.core.publisher.Mono
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FleetDriverTest {
    private val table = MemoryPlatformTable()
    private val timers = SystemTimers()
    private val fleets = ArrayList<FleetDriver>()
    private val cancelledProcessIds = CopyOnWriteArrayList<Int>()

    @AfterEach
    fun stop() {
        fleets.forEach { it.stop().block() }
        timers.stop()
    }

    @Test
    fun `three hosts become members of one fleet and put a proposed revision in force`() {
        val hosts = List(3) { start("host-$it") }
        await("three members") { hosts.all { it.status.members.size == 3 && it.gate.inStanding() } }
        propose("customer club rate=50/s burst=9 # test\n")
        await("revision 1") { hosts.all { it.gate.configuration()?.revision == 1L } }

        assertEquals(Admission.Admitted, hosts[0].gate.admit(CustomerId("unlimited")))
        await("an admitted request") { hosts.any { it.gate.admit(CustomerId("club")) == Admission.Admitted } }
    }

    @Test
    fun `members stay in good standing while the platform is down and a new host gains it only afterwards`() {
        val hosts = List(2) { start("host-$it") }
        await("two members") { hosts.all { it.status.members.size == 2 && it.gate.inStanding() } }
        table.down = true
        val late = start("host-2")
        // Longer than FleetTimings.standingMillis, so that what the platform showed before no longer counts.
        timers.skip(millis = 4_000)
        await("good standing without the platform") { hosts.all { it.gate.inStanding() } }
        assertFalse(late.gate.inStanding())

        table.down = false
        await("good standing of the late host") { late.gate.inStanding() }
    }

    @Test
    fun `a handshake with another secret is refused`() {
        val first = start("host-0")
        await("one member") { first.gate.inStanding() }
        val other = start("host-1", secret = "other")
        await("a refused handshake") { first.refusedHandshakes() > 0 || other.refusedHandshakes() > 0 }
    }

    @Test
    fun `group views and cancel requests reach other hosts`() {
        val hosts = List(2) { start("host-$it") }
        await("two members") { hosts.all { it.status.members.size == 2 && it.gate.inStanding() } }
        val views = hosts[0].askGroupViews(DatabaseId("orders-1"), timeoutMillis = 5_000).collectList().block()!!

        assertEquals(listOf(PeerView(HostId("host-1"), 7, TargetId("a"), PrimaryReach.REACHED)), views)
        assertTrue(hosts[0].forwardCancel(HostId("host-1"), processId = 12, secretKey = 34))
        assertFalse(hosts[0].forwardCancel(HostId("host-9"), processId = 12, secretKey = 34))
        await("the cancel request") { cancelledProcessIds == listOf(12) }
    }

    @Test
    fun `a later incarnation takes the lease over and the earlier one leaves good standing`() {
        val earlier = start("host-0", incarnation = 1)
        await("good standing of the earlier incarnation") { earlier.gate.inStanding() }
        val later = start("host-0", incarnation = 2)
        await("good standing of the later incarnation only") { later.gate.inStanding() && !earlier.gate.inStanding() }
    }

    private val registries = HashMap<FleetDriver, SimpleMeterRegistry>()

    private fun FleetDriver.registry() = registries.getValue(this)

    private fun FleetDriver.refusedHandshakes() = registry().counter("cardamomlane.peer.handshakes.refused").count()

    private fun start(
        name: String,
        secret: String = "test",
        incarnation: Long = 1,
        table: PlatformTable = this.table,
    ): FleetDriver {
        val registry = SimpleMeterRegistry()
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), freePort())
        val fleet =
            FleetDriver(HostId(name), address, secret, table, timers, registry, Requests(), incarnation = incarnation)
        registries[fleet] = registry
        fleets += fleet
        fleet.start()
        return fleet
    }

    private fun propose(rules: String) {
        val proposed = ConfigurationStore(table).propose(basedOn = 0, Draft(rules, persistentListOf(), "test")).block()
        assertEquals(1L, proposed?.getOrNull())
    }

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private fun await(what: String, condition: () -> Boolean) {
        repeat(1_000) {
            if (condition()) return
            Thread.sleep(30)
        }
        throw AssertionError("timed out waiting for $what; ${fleets.map { it.status }}")
    }

    private inner class Requests : PeerRequestHandler {
        override fun groupView(database: DatabaseId) =
            PeerView(HostId("self"), term = 7, primary = TargetId("a"), PrimaryReach.REACHED)

        override fun onNewTerm(database: DatabaseId, term: Long, primary: TargetId) = Unit

        override fun onCancel(processId: Int, secretKey: Int) {
            cancelledProcessIds += processId
        }
    }

    private class SystemTimers : TimerService {
        private val executor = Executors.newSingleThreadScheduledExecutor()

        private val skippedMillis = AtomicLong()

        override fun nowMillis(): Long = System.nanoTime() / 1_000_000 + skippedMillis.get()

        fun skip(millis: Long) {
            skippedMillis.addAndGet(millis)
        }

        override fun after(delayMillis: Long, action: () -> Unit): TimerSubscription {
            val task = executor.schedule(action, delayMillis, TimeUnit.MILLISECONDS)
            return TimerSubscription { task.cancel(false) }
        }

        override fun every(periodMillis: Long, action: () -> Unit): TimerSubscription {
            val task = executor.scheduleAtFixedRate(action, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
            return TimerSubscription { task.cancel(false) }
        }

        fun stop() {
            executor.shutdownNow()
        }
    }

    // A step of the heartbeat that failed kept the lease from being renewed, so that the other hosts removed this one.
    @Test
    fun `a read that fails at once does not keep the lease from being renewed`() {
        val broken = object : PlatformTable by table {
            override fun get(key: String): Mono<Row> =
                if (key.startsWith("record/")) throw StackOverflowError() else table.get(key)
        }
        start("host-0", table = broken)
        await("two renewals") { (table.get("member/host-0").block()?.version ?: 0) >= 2 }
    }
}
