package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerRoute
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.host.ClockOffsets
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.record.CallerCommit
import dev.cardamomlane.standin.lane.record.CallerRead
import dev.cardamomlane.standin.lane.record.StaleReads
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/**
 * The time of day steps on some hosts while replicas are behind, and primaries crash now and then. No read may run on a
 * log that lacks a commit which it had to see.
 *
 * The hosts must run with a clock that follows [ClockOffsets]; a run in which no host met a step says nothing.
 */
internal class SteppingClocks(private val seed: Long) : ReviewCase {
    override val site = SitePlan.GUILD

    private val commits = ConcurrentLinkedQueue<CallerCommit>()
    private val reads = ConcurrentLinkedQueue<CallerRead>()
    private val isOver = AtomicBoolean()

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val offsets = ClockOffsets(installation.directory, installation.hosts.map { it.plan.name })
        val startMillis = installation.record.nowMillis
        BackgroundTasks().use { tasks ->
            val callers = CallerRoute.entries.flatMap { route ->
                List(installation.hosts.size * CALLERS_PER_HOST.getValue(route)) { caller ->
                    val random = Random(seed * SEED_STEP + route.ordinal * CALLER_STEP + caller)
                    tasks.start { serve(installation, route, caller, random) }
                }
            }
            val disturbers = if (!hasTrouble) {
                emptyList()
            } else {
                listOf(
                    tasks.start { slowReplicas(installation, Random(-seed * SEED_STEP - 1)) },
                    tasks.start { stepClocks(installation, offsets, Random(-seed * SEED_STEP - 2)) },
                    tasks.start { crashPrimaries(installation, Random(-seed * SEED_STEP - 3)) },
                )
            }
            Thread.sleep(maxOf(0, startMillis + LENGTH_MILLIS - installation.record.nowMillis))
            isOver.set(true)
            (callers + disturbers).forEach { it.get() }
        }
        if (hasTrouble && offsets.metCount == 0) return Verdict.NotRun("no host met a step of its time of day")
        return verdict(installation, offsets.metCount)
    }

    private fun verdict(installation: LaneInstallation, metCount: Int): Verdict {
        val history = installation.platform.history
        val stale = StaleReads(commits, history).find(reads)
        stale.forEach { installation.record.line("too old: $it") }
        val runCount = reads.count { history.readsOf(it.statementId).isNotEmpty() }
        if (runCount == 0 || commits.isEmpty()) return Verdict.NotRun("nothing was served")
        return Verdict.of(
            stale.isNotEmpty(),
            "${stale.size} reads were too old; $runCount reads run, ${commits.size} commits acknowledged, " +
                "${history.rolledBackCommits.size} rolled back, $metCount steps met by their hosts",
        )
    }

    private fun serve(installation: LaneInstallation, route: CallerRoute, number: Int, random: Random) {
        val host = number % installation.hosts.size
        while (!isOver.get()) {
            try {
                val name = "${route.database}$number-${installation.record.nowMillis}"
                installation.connect(name, host, number, route.database).use {
                    use(it, route, name, installation, random)
                }
            } catch (e: IOException) {
                installation.record.line("no session: $e")
            }
            Thread.sleep(RECONNECT_MILLIS)
        }
    }

    private fun use(
        session: CallerSession,
        route: CallerRoute,
        name: String,
        installation: LaneInstallation,
        random: Random,
    ) {
        while (session.isOpen && !isOver.get()) {
            val sentMillis = installation.record.nowMillis
            val isLeft = when {
                random.nextDouble() < WRITE_SHARE.getValue(route) -> write(session, name, installation, random)
                random.nextInt(TRANSACTION_SHARE) == 0 -> transact(session, route, name, sentMillis, random)
                else -> read(session, route, name, sentMillis, random)
            }
            if (isLeft) return
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    private fun write(session: CallerSession, name: String, installation: LaneInstallation, random: Random): Boolean {
        val answer = session.run("WRITE ${random.nextInt(ITEMS)}a $name")
        if (answer.isRunByTarget) commits += CallerCommit(answer.statementId, name, installation.record.nowMillis)
        return answer.isInTransaction
    }

    private fun read(
        session: CallerSession,
        route: CallerRoute,
        name: String,
        sentMillis: Long,
        random: Random,
    ): Boolean {
        val answer = session.run("READ ${random.nextInt(ITEMS)}a")
        reads += route.read(answer.statementId, name, sentMillis)
        return answer.isInTransaction
    }

    private fun transact(
        session: CallerSession,
        route: CallerRoute,
        name: String,
        sentMillis: Long,
        random: Random,
    ): Boolean {
        if (!session.run("BEGIN READ").isDone) return true
        repeat(random.nextInt(1, MAX_STATEMENTS)) {
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
            read(session, route, name, sentMillis, random)
        }
        return session.run("COMMIT").isInTransaction
    }

    /** All replicas are behind, or one of them; or one receives nothing for a while. */
    private fun slowReplicas(installation: LaneInstallation, random: Random) {
        val platform = installation.platform
        while (!isOver.get()) {
            val replicas = platform.onLoop { platform.targets.map { it.target }.filterNot { it.isPrimary } }
            val targets = if (random.nextInt(ONE_BEHIND_SHARE) == 0) replicas.take(1) else replicas
            val lagMillis = random.nextLong(MIN_LAG_MILLIS, MAX_LAG_MILLIS)
            val isCutOff = random.nextInt(CUT_OFF_SHARE) == 0
            installation.record.line("${targets.map { it.name }} fall behind by $lagMillis ms, cut off: $isCutOff")
            platform.onLoop {
                targets.forEach { it.lagMillis = lagMillis }
                if (isCutOff) targets.firstOrNull()?.isReceiving = false
            }
            Thread.sleep(LAG_MILLIS)
            platform.onLoop {
                targets.forEach {
                    it.lagMillis = site.lagMillis
                    it.isReceiving = true
                }
            }
            Thread.sleep(random.nextLong(LAG_PAUSE_MILLIS))
        }
    }

    private fun stepClocks(installation: LaneInstallation, offsets: ClockOffsets, random: Random) {
        while (!isOver.get()) {
            Thread.sleep(random.nextLong(STEP_PAUSE_MILLIS))
            val hosts = installation.hosts.map { it.plan.name }.shuffled(random).take(STEPPING_HOSTS)
            val stepMillis = if (random.nextInt(BACK_SHARE) == 0) -STEP_MILLIS else STEP_MILLIS
            installation.record.line("the time of day of $hosts steps by $stepMillis ms")
            hosts.forEach { offsets.set(it, stepMillis) }
            Thread.sleep(random.nextLong(MIN_STEPPED_MILLIS, MAX_STEPPED_MILLIS))
            hosts.forEach { offsets.set(it, 0) }
        }
    }

    private fun crashPrimaries(installation: LaneInstallation, random: Random) {
        val platform = installation.platform
        while (!isOver.get()) {
            Thread.sleep(random.nextLong(MIN_CRASH_PAUSE_MILLIS, MAX_CRASH_PAUSE_MILLIS))
            if (isOver.get()) return
            val primary = platform.onLoop { platform.primaryServer()?.also { it.crash() } } ?: continue
            Thread.sleep(random.nextLong(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS))
            platform.onLoop { primary.start() }
        }
    }

    private companion object {
        /** How many callers each host has on a route, and how many of their operations are writes. */
        val CALLERS_PER_HOST = mapOf(CallerRoute.CURRENT to 1, CallerRoute.BOUNDED to 3, CallerRoute.SESSION to 1)
        val WRITE_SHARE = mapOf(CallerRoute.CURRENT to 0.8, CallerRoute.BOUNDED to 0.0, CallerRoute.SESSION to 0.2)
        const val LENGTH_MILLIS = 75_000L
        const val SEED_STEP = 10_000L
        const val CALLER_STEP = 1_000L
        const val ITEMS = 20
        const val TRANSACTION_SHARE = 8
        const val MAX_STATEMENTS = 4
        const val MAX_PAUSE_MILLIS = 90L
        const val RECONNECT_MILLIS = 200L

        const val MIN_LAG_MILLIS = 1_400L
        const val MAX_LAG_MILLIS = 4_000L
        const val ONE_BEHIND_SHARE = 4
        const val LAG_MILLIS = 7_000L
        const val LAG_PAUSE_MILLIS = 700L
        const val CUT_OFF_SHARE = 3

        const val STEPPING_HOSTS = 2
        const val STEP_MILLIS = 2_400L
        const val STEP_PAUSE_MILLIS = 3_000L
        const val BACK_SHARE = 4
        const val MIN_STEPPED_MILLIS = 400L
        const val MAX_STEPPED_MILLIS = 1_200L

        const val MIN_CRASH_PAUSE_MILLIS = 15_000L
        const val MAX_CRASH_PAUSE_MILLIS = 45_000L
        const val MIN_DOWN_MILLIS = 500L
        const val MAX_DOWN_MILLIS = 8_000L
    }
}
