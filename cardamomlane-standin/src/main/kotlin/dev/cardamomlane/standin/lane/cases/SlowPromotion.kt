package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.host.SitePlan
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Primaries crash in turn while the promote call is slow. No write may be committed at an old primary after a promotion
 * has taken effect, and be acknowledged.
 */
internal class SlowPromotion : ReviewCase {
    override val site = SitePlan.PRESS

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val acknowledged = ConcurrentHashMap.newKeySet<String>()
        val isOver = AtomicBoolean()
        BackgroundTasks().use { tasks ->
            installation.hosts.indices.forEach { host ->
                tasks.start { writeUntil(isOver, installation, host, acknowledged) }
            }
            Thread.sleep(WARM_UP_MILLIS)
            for (round in 1..ROUNDS) {
                installation.record.line("round $round")
                if (hasTrouble) crashPrimary(installation)
                Thread.sleep(ROUND_MILLIS)
                if (late(installation, acknowledged).isNotEmpty()) break
            }
            isOver.set(true)
            Thread.sleep(LAST_ANSWER_MILLIS)
        }
        if (acknowledged.isEmpty()) return Verdict.NotRun("no write was acknowledged")
        val late = late(installation, acknowledged)
        return Verdict.of(
            late.isNotEmpty(),
            "${late.size} writes at an old primary after a promotion had taken effect were acknowledged, " +
                "of ${acknowledged.size} in all",
        )
    }

    private fun late(installation: LaneInstallation, acknowledged: Set<String>): Set<String> =
        installation.platform.history.lateCommits intersect acknowledged

    private fun crashPrimary(installation: LaneInstallation) = installation.platform.run {
        onLoop {
            val primary = primaryServer() ?: return@onLoop
            promotionFaults.slowMillis = PROMOTION_MILLIS
            primary.crash()
            timers.after(CRASH_MILLIS, primary::start)
            timers.after(SLOW_MILLIS) { promotionFaults.heal() }
        }
    }

    private fun writeUntil(
        isOver: AtomicBoolean,
        installation: LaneInstallation,
        host: Int,
        acknowledged: MutableSet<String>,
    ) {
        var count = 0
        while (!isOver.get()) {
            try {
                installation.connect("w$host", host, customer = host).use { session ->
                    writeWhileOpen(session, isOver, acknowledged) { "WRITE ${host}a v${count++}" }
                }
            } catch (e: IOException) {
                installation.record.line("caller w$host: $e")
            }
            Thread.sleep(RECONNECT_MILLIS)
        }
    }

    private fun writeWhileOpen(
        session: CallerSession,
        isOver: AtomicBoolean,
        acknowledged: MutableSet<String>,
        nextWrite: () -> String,
    ) {
        while (!isOver.get() && session.isOpen) {
            val answer = session.run(nextWrite())
            if (answer.isDone) acknowledged += answer.statementId
            Thread.sleep(WRITE_INTERVAL_MILLIS)
        }
    }

    private companion object {
        const val ROUNDS = 5
        const val ROUND_MILLIS = 14_000L
        const val WARM_UP_MILLIS = 3_000L
        const val LAST_ANSWER_MILLIS = 1_500L
        const val CRASH_MILLIS = 7_000L
        const val SLOW_MILLIS = 9_000L
        const val PROMOTION_MILLIS = 3_000L
        const val WRITE_INTERVAL_MILLIS = 60L
        const val RECONNECT_MILLIS = 200L
    }
}
