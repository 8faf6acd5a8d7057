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
    private fun GroupSimulation.oneFault() {
        val leader = primaries.getValue(highestTerm).value
        val target = ids.random(random).value
        val daemon = daemons.random(random).name
        when (random.nextInt(9)) {
            0 -> daemons.forEach { network.cut(it.name, leader) }
            1 -> ids.filter { it.value != leader }.forEach { network.cut(it.value, leader) }
            2 -> (ids.map { it.value } + daemons.map { it.name }).forEach { if (it != leader) network.cut(it, leader) }
            3 -> network.cut(daemon, target)
            4 -> network.pause(daemon, millis = 200 + random.nextLong(1_500))
            5 -> daemons.forEach { network.cut(it.name, GroupSimulation.PLATFORM) }
            6 -> crashed = ids.random(random)
            7 -> daemons.forEach { if (it.name != daemon) network.cut(daemon, it.name) }
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
            oneFault()
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
    fun `each check fails without its mechanism`() {
        val cases = listOf(
            Mechanisms(majorityConfirms = false) to "no acknowledged write is lost",
            Mechanisms(highestIsPromoted = false) to "no acknowledged write is lost",
            Mechanisms(fenceStopsOldTerms = false) to "no write is acknowledged by an old primary",
        )
        for ((mechanisms, check) in cases) assertTrue(check in violations(mechanisms), "$mechanisms")
    }

    /** Two daemons that can't talk act at once, and reach different majorities of five targets. */
    private fun duel(seed: Int, mechanisms: Mechanisms): GroupSimulation {
        val five = listOf(A, B, C, TargetId("orders-1-d"), TargetId("orders-1-e"))
        val simulation = GroupSimulation(seed, mechanisms, five)
        simulation.timer.advance(500)
        simulation.crashed = A
        simulation.daemons.forEach { simulation.network.cut(it.name, "host-3") }
        simulation.network.cut("host-1", "host-2")
        simulation.network.cut("host-1", "${five.last()}")
        simulation.network.cut("host-2", "$B")
        simulation.timer.advance(5_000)
        return simulation
    }

    @Test
    fun `a term is granted to one claimant also when two daemons reach different majorities`() {
        val withoutPlatform = Mechanisms(platformAnswers = false)
        val broken = withoutPlatform.copy(oneClaimantATerm = false)
        for (seed in 1..20) {
            val simulation = duel(seed, withoutPlatform)
            assertEquals(emptySet(), simulation.violations)
            assertTrue(simulation.highestTerm > 1, "seed $seed")
        }
        assertTrue((1..20).any { "at most one primary a term" in duel(it, broken).violations })
    }

    @Test
    fun `the gap after a cut of the primary stays under two seconds`() {
        val gaps = (1..20).map { seed -> gapMillis(GroupSimulation(seed)) }.sorted()
        println("failover gap in manual time: p50 ${gaps[gaps.size / 2]} ms, max ${gaps.last()} ms")
        assertTrue(gaps.last() < 2_000, "gaps $gaps")
    }

    private fun gapMillis(simulation: GroupSimulation): Long = with(simulation) {
        timer.advance(500 + random.nextLong(100))
        (ids.map { it.value } + daemons.map { it.name }).forEach { if (it != "$A") network.cut(it, "$A") }
        val cutAtMillis = timer.nowMillis()
        timer.advance(5_000)
        return acknowledged.first { it.atMillis > cutAtMillis && it.position.term > 1 }.atMillis - cutAtMillis
    }

    @Test
    fun `nobody fails over for reasons of its own`() {
        val faults = listOf<GroupSimulation.() -> Unit>(
            { network.cut("host-1", "$A") },
            { network.cut("host-1", "$A").also { isIdle = true } },
            { (ids.map { "$it" } + listOf("host-2", "host-3")).forEach { network.cut("host-1", it) } },
            { ids.forEach { network.cut("host-1", "$it") } },
            { ids.forEach { network.cut("host-1", "$it") }.also { network.cut("host-2", "$A") } },
            { daemons.forEach { network.pause(it.name, millis = 3_000) } },
            { network.cut("$B", "$C").also { network.cut("$A", "$C") } },
            { daemons.forEach { daemon -> network.cut(daemon.name, "$C") } },
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
    fun `writes go on after every fault has healed`(seed: Int) {
        val simulation = GroupSimulation(seed)
        simulation.runFaults(faults = 12)
        simulation.timer.advance(15_000)
        val sinceMillis = simulation.timer.nowMillis()
        simulation.timer.advance(1_000)
        assertTrue(simulation.acknowledgedSince(sinceMillis) > 10, "terms ${simulation.primaries}")
    }
}
