package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.target.PromotionOrder
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean

/**
 * A primary drains, and the host that hands it over is killed just after its promotion was accepted. Callers commit
 * meanwhile. No commit may be made at an old primary after a promotion has taken effect, and be acknowledged.
 *
 * @param commitMillis when each caller, by its number, commits after the primary's report that it drains
 */
internal class ReleaseAndKill(private val commitMillis: (Int) -> Long = ::lateMillis) : ReviewCase {
    override val site = SitePlan.PRESS

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val acknowledged = ConcurrentHashMap.newKeySet<String>()
        BackgroundTasks().use { tasks ->
            val mayKill = AtomicBoolean()
            installation.platform.onPromotion { order ->
                if (mayKill.compareAndSet(true, false)) killHolder(installation, tasks, order)
            }
            for (round in 1..ROUNDS) {
                installation.record.line("round $round")
                mayKill.set(hasTrouble)
                release(installation, tasks, round, hasTrouble, acknowledged)?.let { return it }
                val isLast = installation.record.nowMillis > LAST_ROUND_MILLIS
                if (isLast || late(installation, acknowledged).isNotEmpty()) break
            }
        }
        if (!hasTrouble && acknowledged.isEmpty()) return Verdict.NotRun("no commit was acknowledged")
        val late = late(installation, acknowledged)
        return Verdict.of(
            late.isNotEmpty(),
            "${late.size} commits at an old primary after a promotion had taken effect were acknowledged $late; " +
                "${acknowledged.size} commits acknowledged in all",
        )
    }

    private fun late(installation: LaneInstallation, acknowledged: Set<String>): Set<String> =
        installation.platform.history.lateCommits intersect acknowledged

    private fun killHolder(installation: LaneInstallation, tasks: BackgroundTasks, order: PromotionOrder) {
        val host = installation.fleet.find(order.holder.substringBefore('#'))
        host.kill()
        tasks.startAfter(RESTART_MILLIS) { host.start() }
    }

    /** Returns a verdict only if the case can't go on. */
    private fun release(
        installation: LaneInstallation,
        tasks: BackgroundTasks,
        round: Int,
        hasTrouble: Boolean,
        acknowledged: MutableSet<String>,
    ): Verdict? {
        val sessions = begin(installation, tasks, round)
        if (sessions.isEmpty()) return Verdict.NotRun("no transaction could begin")
        val platform = installation.platform
        val primary = platform.onLoop { platform.primaryServer().also { if (hasTrouble) it?.target?.drain() } }
        sessions.forEachIndexed { index, session ->
            tasks.startAfter(commitMillis(index)) {
                val answer = session.run("COMMIT")
                if (answer.isDone) acknowledged += answer.statementId
            }
        }
        Thread.sleep(SERVES_ON_MILLIS)
        if (hasTrouble && primary != null) {
            platform.onLoop { primary.crash() }
            Thread.sleep(TARGET_RESTART_MILLIS)
            platform.onLoop { primary.start() }
        }
        sessions.forEach(CallerSession::close)
        if (!installation.fleet.awaitReady(READY_TIMEOUT_MILLIS)) return Verdict.NotRun("a host did not come back")
        Thread.sleep(SETTLE_MILLIS)
        return null
    }

    /** Opens sessions over all hosts but the last and writes in a transaction of each, all at the same time. */
    private fun begin(installation: LaneInstallation, tasks: BackgroundTasks, round: Int): List<CallerSession> {
        val begun = ConcurrentLinkedQueue<CallerSession>()
        tasks.runAll(CALLERS) { number ->
            try {
                val host = number % (installation.hosts.size - 1)
                val session = installation.connect("r${round}c$number", host, customer = number)
                if (session.run("BEGIN").isDone && session.run("WRITE ${number}a r$round").isDone) begun += session
            } catch (e: IOException) {
                installation.record.line("no session: $e")
            }
        }
        return begun.toList()
    }

    companion object {
        /** Commits around the moment when a second host claims the takeover. */
        fun lateMillis(caller: Int): Long = FIRST_COMMIT_MILLIS + caller * COMMIT_STEP_MILLIS

        /** Every other caller commits as [lateMillis] says, the others soon enough to be acknowledged. */
        fun earlyOrLateMillis(caller: Int): Long = when (caller % 2) {
            0 -> caller * COMMIT_STEP_MILLIS
            else -> lateMillis(caller)
        }

        private const val ROUNDS = 8
        private const val LAST_ROUND_MILLIS = 95_000L
        private const val CALLERS = 32
        private const val FIRST_COMMIT_MILLIS = 1_320L
        private const val COMMIT_STEP_MILLIS = 8L
        private const val SERVES_ON_MILLIS = 7_500L
        private const val RESTART_MILLIS = 2_500L
        private const val TARGET_RESTART_MILLIS = 300L
        private const val READY_TIMEOUT_MILLIS = 20_000L
        private const val SETTLE_MILLIS = 2_000L
    }
}
