package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.random.Random

/**
 * How the targets of a group deviate from one answer to each statement. All rates are shares of 1.
 *
 * Not safe for use by several threads.
 */
internal class AnswerFaults(private val random: Random) {
    /** The share of the answers of each kind that are sent again later, once each. */
    var repeatRates: Map<AnswerKind, Double> = emptyMap()

    /** Whether the state and the position of a repetition are those of its own moment. */
    var isStateRebuilt = false

    /** The share of begins, reads, writes and commits that are refused with each code. */
    var errorRates: Map<String, Double> = emptyMap()

    /** Returns the rows of a read of [data], which is null if the item was never written. */
    var rowsOf: (data: String?) -> List<String> = ::singleRow

    private val repeatCounts = HashMap<AnswerKind, Int>()
    private val errorCounts = HashMap<String, Int>()

    /** How many answers of each kind were sent again. */
    val repeats: Map<AnswerKind, Int> get() = repeatCounts.toMap()

    /** How many statements were refused with each code. */
    val errors: Map<String, Int> get() = errorCounts.toMap()

    /** Returns after how many milliseconds the present answer must be sent again, or null if it must not. */
    fun nextRepeatMillis(kind: AnswerKind): Long? {
        val rate = repeatRates[kind] ?: return null
        return if (random.nextDouble() < rate) random.nextLong(MAX_REPEAT_MILLIS + 1) else null
    }

    fun onRepeated(kind: AnswerKind) {
        repeatCounts.merge(kind, 1, Int::plus)
    }

    /**
     * Returns the code with which the present statement must be refused, or null if it must not, and counts it.
     *
     * @param hasPosition whether the statement asks for a position of the log, without which no target says that it lags
     */
    fun nextError(hasPosition: Boolean = true): String? {
        if (errorRates.isEmpty()) return null
        var rest = random.nextDouble()
        for ((code, rate) in errorRates) {
            if (rest < rate) {
                if (code == PlatformWords.LAGGING && !hasPosition) return null
                return code.also { errorCounts.merge(it, 1, Int::plus) }
            }
            rest -= rate
        }
        return null
    }

    /** Ends repetitions and errors. The rows and the counts remain. */
    fun heal() {
        repeatRates = emptyMap()
        isStateRebuilt = false
        errorRates = emptyMap()
    }

    private companion object {
        const val MAX_REPEAT_MILLIS = 300L

        fun singleRow(data: String?) = listOf(data ?: "-")
    }
}
