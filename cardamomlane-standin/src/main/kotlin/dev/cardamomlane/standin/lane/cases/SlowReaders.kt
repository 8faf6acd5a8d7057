package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Hosts are stopped in turn while some callers read long answers over slow links, and many others read short ones. No
 * statement that a target has begun may be cut.
 */
internal class SlowReaders(private val seed: Long) : ReviewCase {
    override val site = SitePlan.PRESS
    private val cuts = ConcurrentLinkedQueue<String>()
    private val longCount = AtomicInteger()
    private val shortCount = AtomicInteger()
    private val isOver = AtomicBoolean()

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val platform = installation.platform
        platform.onLoop {
            platform.group.answerFaults.rowsOf =
                { data -> if (data == LONG_ITEM) LONG_ROWS else listOf(data ?: "none") }
        }
        installation.connect("writer", 0, 0).use { it.run("WRITE $LONG_ITEM $LONG_ITEM") }
        BackgroundTasks().use { tasks ->
            val callers = List(STOPPED_HOSTS * (SLOW_CALLERS + OTHER_CALLERS)) { number ->
                val isSlow = number < STOPPED_HOSTS * SLOW_CALLERS
                tasks.start { serve(installation, number, isSlow, Random(seed * SEED_STEP + number)) }
            }
            for (host in installation.hosts.take(STOPPED_HOSTS)) {
                Thread.sleep(BETWEEN_STOPS_MILLIS + Random(seed).nextLong(BETWEEN_STOPS_MILLIS))
                if (!hasTrouble) continue
                host.terminate().get()
                host.start()
            }
            Thread.sleep(BETWEEN_STOPS_MILLIS)
            isOver.set(true)
            callers.forEach { it.get() }
        }
        val lost = cuts.filter(platform.history::hasBegun)
        if (longCount.get() == 0 || shortCount.get() == 0) return Verdict.NotRun("nothing was served")
        return Verdict.of(
            lost.isNotEmpty(),
            "${lost.size} statements that a target had begun were cut $lost; ${longCount.get()} long and " +
                "${shortCount.get()} short answers arrived whole",
        )
    }

    private fun serve(installation: LaneInstallation, number: Int, isSlow: Boolean, random: Random) {
        var host = number % STOPPED_HOSTS
        while (!isOver.get()) {
            try {
                installation.connect(
                    "c$number",
                    host,
                    number,
                    OperatorConfig.BOUNDED_DATABASE,
                    readBytesPerMilli = SLOW_BYTES_PER_MILLI.takeIf { isSlow },
                ).use { session -> use(session, isSlow, random) }
            } catch (e: IOException) {
                installation.record.line("caller $number: $e")
            }
            host = (host + 1) % STOPPED_HOSTS
            Thread.sleep(RECONNECT_MILLIS)
        }
    }

    private fun use(session: CallerSession, isSlow: Boolean, random: Random) {
        while (session.isOpen && !isOver.get()) {
            count(session.run(if (isSlow) "READ $LONG_ITEM" else "READ ${random.nextInt(ITEMS)}a"), isSlow)
            Thread.sleep(if (isSlow) SLOW_PAUSE_MILLIS else random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    private fun count(answer: CallerAnswer, isSlow: Boolean) {
        if (answer.isCut) cuts += answer.statementId
        if (answer.isRunByTarget) (if (isSlow) longCount else shortCount).incrementAndGet()
    }

    private companion object {
        const val STOPPED_HOSTS = 3

        /** Callers of each of these hosts. */
        const val SLOW_CALLERS = 4
        const val OTHER_CALLERS = 67

        /** A link of 100 Mbit/s. */
        const val SLOW_BYTES_PER_MILLI = 12_500
        const val LONG_ITEM = "long"

        /** 6 MiB. */
        val LONG_ROWS = List(96) { "x".repeat(64 * 1024) }
        const val ITEMS = 20
        const val SLOW_PAUSE_MILLIS = 20L
        const val MAX_PAUSE_MILLIS = 1_500L
        const val RECONNECT_MILLIS = 100L
        const val BETWEEN_STOPS_MILLIS = 3_000L
        const val SEED_STEP = 1_000L
    }
}
