package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.load.KeyTrouble
import dev.cardamomlane.standin.lane.load.LoadCaller
import dev.cardamomlane.standin.lane.load.LoadFigures
import dev.cardamomlane.standin.lane.load.LoadHistory
import dev.cardamomlane.standin.lane.load.LoadTrouble
import dev.cardamomlane.standin.lane.load.OddRows
import dev.cardamomlane.standin.lane.load.OddText
import dev.cardamomlane.standin.lane.record.StatementChecks
import java.util.Locale
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/**
 * Callers run operations at all hosts while texts are odd or targets answer twice. Each statement must run as it was
 * sent, on its session's connection, and each success must be that of its statement. One operation in twenty may fail.
 */
internal class LoadCase(private val seed: Long, private val trouble: LoadTrouble) : ReviewCase {
    override val site = SitePlan.GUILD

    private val history = LoadHistory()

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val present = if (hasTrouble) trouble else LoadTrouble()
        val platform = installation.platform
        val random = Random(seed)
        val keys = KeyTrouble(installation, history).takeIf { present.oddShare > 0 }
        keys?.begin()
        platform.onLoop {
            val faults = platform.group.answerFaults
            if (present.oddShare > 0) faults.rowsOf = OddRows(random, OddText(random, present.oddShare))::of
            present.begin(faults, isStateRebuilt = seed % 2 == 0L)
        }
        val startMillis = installation.record.nowMillis
        val isOver = AtomicBoolean()
        BackgroundTasks().use { tasks ->
            val callers = List(installation.hosts.size * CALLERS_PER_HOST) { number ->
                val customer = number % installation.customers.size
                val key = keys?.keyOf(customer) ?: installation.customers[customer].keys.first()
                val callerRandom = Random(seed * SEED_STEP + number)
                val caller = LoadCaller(installation, number, key, history, callerRandom, present.oddShare)
                tasks.start { caller.run(isOver::get) }
            }
            val probe = keys?.let { tasks.start { it.probe(isOver::get) } }
            Thread.sleep(LENGTH_MILLIS)
            isOver.set(true)
            (callers + listOfNotNull(probe)).forEach { it.get() }
        }
        val tookMillis = installation.record.nowMillis - startMillis
        Thread.sleep(SETTLE_MILLIS)
        return verdict(installation, tookMillis)
    }

    private fun verdict(installation: LaneInstallation, tookMillis: Long): Verdict {
        val admittedKeys = history.admittedKeys()
        val platform = installation.platform
        val violations = platform.onLoop { StatementChecks(platform.history, history::statements).violations() }
        violations.forEach { installation.record.line("violation $it") }
        val figures = platform.onLoop { LoadFigures(history, platform, tookMillis) }
        installation.record.line("$figures")
        if (!figures.isServed) return Verdict.Broken("nothing was served; $figures")
        val counts = violations.groupingBy { "${it.rule} (${it.cause})" }.eachCount().toSortedMap()
        val failed = "%.1f %%".format(Locale.ROOT, figures.failedShare * PERCENT)
        val text = "violations $counts; operations that did not succeed $failed; " +
            "unknown keys admitted ${admittedKeys.size}; $figures"
        val isServedBadly = figures.failedShare > MAX_FAILED_SHARE
        return Verdict.of(violations.isNotEmpty() || admittedKeys.isNotEmpty() || isServedBadly, text)
    }

    private companion object {
        const val CALLERS_PER_HOST = 4
        const val LENGTH_MILLIS = 30_000L
        const val SETTLE_MILLIS = 1_000L
        const val SEED_STEP = 1_000L
        const val MAX_FAILED_SHARE = 0.05
        const val PERCENT = 100
    }
}
