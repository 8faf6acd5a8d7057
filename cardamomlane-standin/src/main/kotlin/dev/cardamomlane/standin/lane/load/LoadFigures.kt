package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.LanePlatform
import dev.cardamomlane.standin.lane.line.Line
import java.util.Locale

/**
 * What a load of [tookMillis] was served. Must be made on the loop of [platform].
 */
internal class LoadFigures(history: LoadHistory, platform: LanePlatform, private val tookMillis: Long) {
    private val sentCount = history.statements().size
    private val runs = platform.history.runs().values.flatten()
    private val millis = Outcome.entries.associateWith { history.millis(it).sorted() }
    private val attemptErrors = history.statements().mapNotNull { it.answer?.code }.groupingBy { it }.eachCount()
    private val cutCount = history.statements().count { it.answer?.isCut == true }
    private val refused = history.refusedSessions()
    private val unaskedMessages = history.unaskedMessages().groupingBy(Line::word).eachCount()
    private val repeats = platform.group.answerFaults.repeats
    private val errors = platform.group.answerFaults.errors
    private val connectionCount = platform.group.connectionCount

    /** Whether an operation succeeded. */
    val isServed: Boolean get() = millis.getValue(Outcome.DONE).isNotEmpty()

    /** The share of the operations that did not succeed, of 1. */
    val failedShare: Double
        get() {
            val doneCount = millis.getValue(Outcome.DONE).size
            return 1 - doneCount.toDouble() / maxOf(1, millis.values.sumOf { it.size })
        }

    override fun toString(): String {
        val reads = runs.count { it.content.text.startsWith("READ") || it.content.plan?.isWrite == false }
        val writes = runs.count { it.content.text.startsWith("WRITE") || it.content.plan?.isWrite == true }
        val done = millis.getValue(Outcome.DONE)
        val counts = millis.entries.joinToString { "${it.key.name.lowercase()} ${it.value.size}" }
        val rate = "%.1f".format(Locale.ROOT, done.size * MILLIS_PER_SECOND / tookMillis)
        return listOf(
            "statements sent $sentCount, reads run $reads, writes run $writes, commits run ${runs.size - reads - writes}",
            "operations $counts, done per s $rate, p50 ${at(done, MEDIAN)} ms, p99 ${at(done, HIGH)} ms",
            "errors to callers $attemptErrors, cut $cutCount",
            "refused sessions $refused",
            "messages while nothing was outstanding $unaskedMessages",
            "connections opened at targets $connectionCount",
            "answers sent again $repeats",
            "errors made $errors",
        ).joinToString("; ")
    }

    private fun at(sorted: List<Long>, share: Double): Long? = sorted.getOrNull((sorted.size * share).toInt())

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val MEDIAN = 0.5
        const val HIGH = 0.99
    }
}
