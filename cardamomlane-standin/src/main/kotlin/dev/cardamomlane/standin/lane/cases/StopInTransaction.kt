package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import kotlin.random.Random

/**
 * A host is stopped while callers are inside transactions. No statement that a target has begun may be cut, unless it
 * was still running near the end of the grace time and was sent early.
 */
internal class StopInTransaction : ReviewCase {
    override val site = SitePlan.GUILD

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val platform = installation.platform
        platform.onLoop { platform.group.targets.forEach { it.statementMillis = STATEMENT_MILLIS } }
        val cuts = ConcurrentLinkedQueue<CutStatement>()
        val begun = CountDownLatch(CALLERS)
        val ended = CountDownLatch(CALLERS)
        BackgroundTasks().use { tasks ->
            repeat(CALLERS) { number ->
                tasks.start {
                    transact(installation, number, begun, cuts)
                    ended.countDown()
                }
            }
            begun.await()
            val stoppedAtMillis = installation.record.nowMillis
            if (hasTrouble) installation.hosts[HOST].terminate(GRACE_MILLIS)
            ended.await()
            return verdict(installation, cuts.map { it.since(stoppedAtMillis) })
        }
    }

    private fun CutStatement.since(millis: Long) =
        copy(sentMillis = sentMillis - millis, endedMillis = endedMillis - millis)

    private fun verdict(installation: LaneInstallation, cuts: List<CutStatement>): Verdict {
        cuts.forEach { installation.record.line("cut: $it") }
        val lost = cuts.filter { it.sentMillis > 0 && it.endedMillis <= GRACE_MILLIS + END_MILLIS }
            .filterNot { it.endedMillis > GRACE_MILLIS * 5 / 6 && it.sentMillis <= EXCUSED_MILLIS }
            .map(CutStatement::statementId).filter(installation.platform.history::hasBegun)
        return Verdict.of(lost.isNotEmpty(), "${lost.size} statements that a target had begun were cut $lost")
    }

    private fun transact(
        installation: LaneInstallation,
        number: Int,
        begun: CountDownLatch,
        cuts: ConcurrentLinkedQueue<CutStatement>,
    ) {
        val random = Random(number)
        val record = installation.record
        var count = 0
        installation.connect("c$number", HOST, number, OperatorConfig.BOUNDED_DATABASE).use { session ->
            Thread.sleep(number * START_STEP_MILLIS)
            session.run("BEGIN READ")
            while (session.isOpen && count < MAX_STATEMENTS) {
                val sentAtMillis = record.nowMillis
                val answer = session.run("READ 1a$count")
                if (count++ == 0) begun.countDown()
                if (answer.isCut) cuts += CutStatement(answer.statementId, sentAtMillis, record.nowMillis)
                if (!answer.isDone) break
                Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS))
            }
            if (session.isOpen) session.run("COMMIT")
        }
        if (count == 0) begun.countDown()
    }

    private companion object {
        const val HOST = 1
        const val CALLERS = 32
        const val STATEMENT_MILLIS = 250L
        const val START_STEP_MILLIS = 20L
        const val MIN_PAUSE_MILLIS = 200L
        const val MAX_PAUSE_MILLIS = 500L
        const val MAX_STATEMENTS = 11
        const val GRACE_MILLIS = 6_000L

        /** How long after the grace time a cut still belongs to the stop. */
        const val END_MILLIS = 1_000L

        /** A statement sent this soon after the signal may be cut in the last sixth of the grace time. */
        const val EXCUSED_MILLIS = 3_000L
    }
}
