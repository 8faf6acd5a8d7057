package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.ClockReading
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.FakeTarget
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import java.util.stream.IntStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Hosts whose time of day steps and whose machines are suspended. Neither may make a read older than its route allows,
 * nor end a takeover's wait early, nor let a host acknowledge a write that a replaced primary committed.
 *
 * The system properties `clock.schedules` and `clock.firstSeed` set how many schedules run, and from which seed on.
 */
class ClockFaultsTest {
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")
    private val read = Statement.Run(Access.READ, "READ 1")

    /** Guards against dates in the future after a step of the time of day, which made reads too old. */
    @Test
    fun `no schedule of steps and suspensions dates anything ahead, serves a stale read or runs a write wrongly`() {
        val seeds = IntStream.range(0, Integer.getInteger("clock.schedules", SCHEDULES))
            .map { it + Integer.getInteger("clock.firstSeed", 1) }

        val findings = seeds.parallel().boxed().flatMap { seed ->
            findings(seed, ClockReading.BOOT_TIME).stream()
        }.toList()

        assertEquals(emptyList(), findings)
    }

    @Test
    fun `the schedules find dates in the future with a clock that follows jumps or stops while suspended`() {
        for (reading in listOf(ClockReading.MONOTONIC_AND_JUMPS, ClockReading.MONOTONIC)) {
            val findings = (1..MISLED_SCHEDULES).flatMap { findings(it, reading) }

            assertTrue(findings.any { "from the future" in it }, "$reading: $findings")
        }
    }

    /** Guards against a log position that seems newer than it is, since the host that sent it saw its time of day step. */
    @Test
    fun `reads are no older than their route allows after the time of day of another host has stepped ahead`() {
        for (stepped in 0..1) {
            for (reading in listOf(ClockReading.BOOT_TIME, ClockReading.MONOTONIC_AND_JUMPS)) {
                val reads = StaleReads(reading, stepped)

                assertEquals(0, reads.count(), "$reading, host $stepped")
                assertEquals(
                    reading == ClockReading.MONOTONIC_AND_JUMPS,
                    reads.hadFutureHeartbeats,
                    "$reading, host $stepped",
                )
            }
        }
    }

    /** Guards against a takeover that promotes while a silent member may still acknowledge writes. */
    @Test
    fun `a holder whose time of day steps ahead waits for the proof of a silent member all the same`() {
        assertEquals(0, lateSuccessesAfterStepOfHolder(ClockReading.BOOT_TIME, stepMillis = STEP_MILLIS))
        assertTrue(lateSuccessesAfterStepOfHolder(ClockReading.MONOTONIC_AND_JUMPS, stepMillis = STEP_MILLIS) > 0)
    }

    /** Guards against a wait that is measured with the time of day. */
    @Test
    fun `a holder whose time of day steps back finishes its takeover as soon as another one`() {
        val promotedMillis = listOf(0L, -STEP_MILLIS).map { stepMillis ->
            Isolation(ClockReading.BOOT_TIME).apply {
                loseProofAtClaim()
                fixture.timers.advance(HEARTBEAT_MILLIS)
                holder().step(stepMillis)
                advanceUntil("promoted") { fixture.promotions.isNotEmpty() }
            }.fixture.timers.nowMillis()
        }

        assertEquals(promotedMillis[0], promotedMillis[1])
    }

    /** Guards against a suspended member that takes its proof from before the suspension for current. */
    @Test
    fun `a member that was suspended during a takeover acknowledges no write of the replaced primary`() {
        assertEquals(0, lateSuccessesAfterSuspension(ClockReading.BOOT_TIME, stepMillis = 0))
        assertTrue(lateSuccessesAfterSuspension(ClockReading.MONOTONIC, stepMillis = 0) > 0)
    }

    /** Guards against a suspension that the time of day does not show, as it steps back meanwhile. */
    @Test
    fun `a member whose time of day stepped back while it was suspended acknowledges none either`() {
        assertEquals(0, lateSuccessesAfterSuspension(ClockReading.BOOT_TIME, stepMillis = -SUSPENDED_MILLIS))
        assertTrue(lateSuccessesAfterSuspension(ClockReading.MONOTONIC_AND_JUMPS, stepMillis = -SUSPENDED_MILLIS) > 0)
    }

    /** Guards against a takeover that never ends because its holder was suspended during the wait. */
    @Test
    fun `a holder that was suspended during its wait leaves the group with one primary`() {
        val isolation = Isolation(ClockReading.BOOT_TIME)
        isolation.loseProofAtClaim()
        isolation.fixture.timers.advance(HEARTBEAT_MILLIS)
        isolation.holder().suspend(SUSPENDED_MILLIS)

        isolation.fixture.timers.advance(SUSPENDED_MILLIS + 4_000)

        assertEquals(1, isolation.fixture.promotions.map { it.first }.distinct().size)
        assertEquals(
            isolation.fixture.promotions.map {
                it.second
            }.sorted(),
            isolation.fixture.promotions.map { it.second },
        )
    }

    private fun findings(seed: Int, reading: ClockReading): List<String> =
        FleetSimulation(seed, clockReading = reading, stepCount = STEPS).run().map { "seed $seed: $it" }

    private fun lateSuccessesAfterStepOfHolder(reading: ClockReading, stepMillis: Long): Int {
        val isolation = Isolation(reading)
        isolation.open()
        isolation.loseProofAtClaim()
        isolation.fixture.timers.advance(HEARTBEAT_MILLIS)
        isolation.holder().step(stepMillis)
        return isolation.countLateSuccesses(attempts = 200)
    }

    private fun lateSuccessesAfterSuspension(reading: ClockReading, stepMillis: Long): Int {
        val isolation = Isolation(reading)
        isolation.open()
        isolation.fixture.machine(ISOLATED).suspend(SUSPENDED_MILLIS)
        isolation.fixture.machine(ISOLATED).step(stepMillis)
        isolation.advanceUntil("replaced") { isolation.isReplaced }
        isolation.fixture.hostsWithoutPlatform += ISOLATED
        return isolation.countLateSuccesses(attempts = 400)
    }

    /**
     * Two hosts use the primary. The time of day of one steps ahead and it hears no more heartbeats; it sends a few and is
     * lost. The other one serves the callers from then on, and soon after the replicas receive nothing any more.
     */
    private inner class StaleReads(reading: ClockReading, private val stepped: Int) {
        private val fixture = HostFixture(hostCount = 2, clockReading = reading)
        private val acknowledged = ArrayList<Pair<Long, LogPosition>>()
        private var staleCount = 0

        /** True when a host got a heartbeat that a wrong clock dated ahead. */
        val hadFutureHeartbeats: Boolean get() = fixture.hosts.any { it.futureHeartbeatCount > 0 }

        fun count(): Int {
            fixture.targets.onRun = ::onRun
            use(host = stepped, rounds = 20, isReplicated = true)
            fixture.timers.advance(READ_MILLIS)
            fixture.machine("host-$stepped").step(STEP_MILLIS)
            fixture.cutPaths += "host-${1 - stepped}>host-$stepped"
            use(host = stepped, rounds = 12, isReplicated = true)
            fixture.partitionedHosts += "host-$stepped"
            fixture.timers.advance(LOST_MILLIS)
            use(host = 1 - stepped, rounds = 2, isReplicated = true)
            use(host = 1 - stepped, rounds = 80, isReplicated = false)
            return staleCount
        }

        private fun use(host: Int, rounds: Int, isReplicated: Boolean) {
            val caller = FakeCaller()
            val writer = fixture.open(caller, "latest", host)
            val reader = fixture.open(caller, "bounded", host)
            repeat(rounds) {
                if (isReplicated) fixture.replicate()
                fixture.ask(writer, caller, write, READ_MILLIS)
                acknowledged += fixture.timers.nowMillis() to fixture.targets.target("p").position
                fixture.ask(reader, caller, read, READ_MILLIS)
            }
        }

        private fun onRun(target: FakeTarget, text: String) {
            val sinceMillis = fixture.timers.nowMillis() - MAX_STALE_MILLIS - READ_MILLIS
            val covered = acknowledged.lastOrNull { it.first < sinceMillis }?.second ?: return
            if (text == read.text && target.position < covered) staleCount++
        }
    }

    /** Three hosts. One exchanges no heartbeats and keeps its way to the primary, which the others lose. */
    private inner class Isolation(reading: ClockReading) {
        val fixture = HostFixture(hostCount = 3, clockReading = reading)
        private val caller = FakeCaller()
        private val session by lazy { fixture.open(caller, host = 2) }
        var isReplaced = false
            private set
        private var lateCommits = 0

        init {
            fixture.onPromoted = { isReplaced = true }
            fixture.targets.onCommit = { target, _ -> if (isReplaced && target.id == "p") lateCommits++ }
            fixture.cutPaths += listOf("host-0", "host-1").flatMap { listOf("$it>$ISOLATED", "$ISOLATED>$it") }
            repeat(10) { useEverywhere() }
            fixture.targets.partitionedPaths += listOf("host-0/p", "host-1/p")
        }

        /** Each host uses the primary, and so notices when it does not answer. */
        private fun useEverywhere() {
            for (host in fixture.hosts) host.openSession(FakeCaller(), "latest", "key").onStatement("w", write)
            fixture.timers.advance(USE_MILLIS)
        }

        /** Opens the session at the isolated host. */
        fun open() {
            check(session.isIdle)
        }

        private fun useOthers() {
            for (host in fixture.hosts.take(2)) host.openSession(FakeCaller(), "latest", "key").onStatement("w", write)
        }

        fun advanceUntil(text: String, condition: () -> Boolean) {
            repeat(MAX_WAIT_MILLIS) {
                if (condition()) return
                if (it % USE_MILLIS.toInt() == 0) useOthers()
                fixture.timers.advance(1)
            }
            error("never $text")
        }

        /** Lets the others claim a takeover. The isolated host loses the store then, with its newest proof. */
        fun loseProofAtClaim() {
            advanceUntil("claimed") { fixture.store.written.isNotEmpty() }
            fixture.hostsWithoutPlatform += ISOLATED
        }

        fun holder() = fixture.machine(fixture.store.written.first().holder.substringBefore('#'))

        /** Writes at the isolated host, and counts the successes of writes that the replaced primary committed. */
        fun countLateSuccesses(attempts: Int): Int = (1..attempts).count {
            val before = lateCommits
            val answer = askIsolated()
            lateCommits > before && answer
        }.also { check(isReplaced) { "no other target became primary" } }

        private fun askIsolated(): Boolean {
            val before = caller.answers.size
            if (!fixture.machine(ISOLATED).isSuspended) session.onStatement("id-$before", write)
            fixture.timers.advance(20)
            return caller.answers.getOrNull(before)?.let { it.error == null } ?: false
        }
    }

    private companion object {
        const val SCHEDULES = 24
        const val MISLED_SCHEDULES = 3
        const val STEPS = 300
        const val ISOLATED = "host-2"
        const val SUSPENDED_MILLIS = 6_000L

        /** By then the other member knows of a claim, and the holder knows that it does. */
        const val HEARTBEAT_MILLIS = 100L
        const val MAX_WAIT_MILLIS = 10_000

        /** The interval at which the hosts use the primary. */
        const val USE_MILLIS = 200L

        /** How long a statement may take. */
        const val READ_MILLIS = 25L
        const val STEP_MILLIS = 2_400L

        /** After this time a host that is not heard is no longer forwarded to. */
        const val LOST_MILLIS = 1_000L

        /** Must equal the `maxStaleMillis` of the routes in [HostFixture]. */
        const val MAX_STALE_MILLIS = 1_500L
    }
}
