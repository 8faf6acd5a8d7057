package dev.cardamomlane.core.failover

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.A
import dev.cardamomlane.core.group.B
import dev.cardamomlane.core.group.C
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FailoverSimulationTest {
    /** Starts one random fault; it lasts until [heal], or a random time for a paused daemon. */
    private fun GroupSimulation.injectFault() {
        val primary = primaries.getValue(highestTerm).value
        val target = ids.random(random).value
        val daemon = daemons.random(random).name
        when (random.nextInt(9)) {
            0 -> daemons.forEach { network.partition(it.name, primary) }
            1 -> ids.filter { it.value != primary }.forEach { network.partition(it.value, primary) }
            2 -> (ids.map { it.value } + daemons.map { it.name })
                .forEach { if (it != primary) network.partition(it, primary) }
            3 -> network.partition(daemon, target)
            4 -> network.pause(daemon, millis = 200 + random.nextLong(1_500))
            5 -> daemons.forEach { network.partition(it.name, GroupSimulation.PLATFORM) }
            6 -> crashed = ids.random(random)
            7 -> daemons.forEach { if (it.name != daemon) network.partition(daemon, it.name) }
            else -> network.lossPercent = 20
        }
    }

    private fun GroupSimulation.heal() {
        network.heal()
        network.lossPercent = 2
        crashed = null
    }

    private fun GroupSimulation.runFaults(faults: Int) {
        timer.advance(500)
        repeat(faults) {
            injectFault()
            timer.advance(50 + random.nextLong(1_500))
            if (random.nextInt(3) == 0) heal()
        }
        heal()
    }

    private fun violations(mechanisms: Mechanisms): Set<String> = (1..40).flatMapTo(sortedSetOf()) { seed ->
        GroupSimulation(seed, mechanisms).also { it.runFaults(faults = 12) }.violations
    }

    @Test
    fun `every invariant holds under faults from many seeds`() {
        assertEquals(emptySet(), violations(Mechanisms()))
    }

    @Test
    fun `every invariant holds without the platform`() {
        assertEquals(emptySet(), violations(Mechanisms(platformAnswers = false)))
    }

    @Test
    fun `each check detects that its mechanism is missing`() {
        val cases = listOf(
            Mechanisms(majorityConfirms = false) to "no acknowledged write is lost",
            Mechanisms(highestIsPromoted = false) to "no acknowledged write is lost",
            Mechanisms(fenceStopsOldTerms = false) to "no write is acknowledged by an old primary",
        )
        for ((mechanisms, check) in cases) assertTrue(check in violations(mechanisms), "$mechanisms")
    }

    /** Partitions two daemons, which then act at once, so that they reach different majorities of five targets. */
    private fun runCompetingDaemons(seed: Int, mechanisms: Mechanisms): GroupSimulation {
        val five = listOf(A, B, C, TargetId("orders-1-d"), TargetId("orders-1-e"))
        val simulation = GroupSimulation(seed, mechanisms, five)
        simulation.timer.advance(500)
        simulation.crashed = A
        simulation.daemons.forEach { simulation.network.partition(it.name, "host-3") }
        simulation.network.partition("host-1", "host-2")
        simulation.network.partition("host-1", "${five.last()}")
        simulation.network.partition("host-2", "$B")
        simulation.timer.advance(5_000)
        return simulation
    }

    @Test
    fun `a term has one primary although two daemons reach different majorities`() {
        val withoutPlatform = Mechanisms(platformAnswers = false)
        val broken = withoutPlatform.copy(oneClaimantPerTerm = false)
        for (seed in 1..20) {
            val simulation = runCompetingDaemons(seed, withoutPlatform)
            assertEquals(emptySet(), simulation.violations)
            assertTrue(simulation.highestTerm > 1, "seed $seed")
        }
        assertTrue((1..20).any { "at most one primary per term" in runCompetingDaemons(it, broken).violations })
    }

    @Test
    fun `writes resume within two seconds after the primary is partitioned`() {
        val gaps = (1..20).map { seed -> gapMillis(GroupSimulation(seed)) }.sorted()
        println("failover gap in manual time: p50 ${gaps[gaps.size / 2]} ms, max ${gaps.last()} ms")
        assertTrue(gaps.last() < 2_000, "gaps $gaps")
    }

    private fun gapMillis(simulation: GroupSimulation): Long = with(simulation) {
        timer.advance(500 + random.nextLong(100))
        (ids.map { it.value } + daemons.map { it.name }).forEach { if (it != "$A") network.partition(it, "$A") }
        val partitionedAtMillis = timer.nowMillis()
        timer.advance(5_000)
        return acknowledged.first { it.atMillis > partitionedAtMillis && it.position.term > 1 }.atMillis -
            partitionedAtMillis
    }

    @Test
    fun `no fault that leaves the primary able to serve causes a failover`() {
        val faults = listOf<GroupSimulation.() -> Unit>(
            { network.partition("host-1", "$A") },
            { network.partition("host-1", "$A").also { isIdle = true } },
            { (ids.map { "$it" } + listOf("host-2", "host-3")).forEach { network.partition("host-1", it) } },
            { ids.forEach { network.partition("host-1", "$it") } },
            { ids.forEach { network.partition("host-1", "$it") }.also { network.partition("host-2", "$A") } },
            { daemons.forEach { network.pause(it.name, millis = 3_000) } },
            { network.partition("$B", "$C").also { network.partition("$A", "$C") } },
            { daemons.forEach { daemon -> network.partition(daemon.name, "$C") } },
            { network.lossPercent = 5 },
        )
        faults.forEachIndexed { index, fault ->
            for (seed in 1..5) {
                val simulation = GroupSimulation(seed)
                simulation.timer.advance(500)
                simulation.fault()
                simulation.timer.advance(10_000)
                assertEquals(1, simulation.claimedTerm, "fault $index seed $seed")
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
    fun `writes are acknowledged again after every fault has healed`(seed: Int) {
        val simulation = GroupSimulation(seed)
        simulation.runFaults(faults = 12)
        simulation.timer.advance(15_000)
        val sinceMillis = simulation.timer.nowMillis()
        simulation.timer.advance(1_000)
        assertTrue(simulation.acknowledgedSince(sinceMillis) > 10, "terms ${simulation.primaries}")
    }
}
