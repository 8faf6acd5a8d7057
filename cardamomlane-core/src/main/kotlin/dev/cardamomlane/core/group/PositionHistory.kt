package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * An immutable, bounded series of pairs of a time and a log position. Times increase and positions never decrease.
 *
 * When the series is full, every second entry of its older half is dropped, so that it still reaches far back, with
 * wider gaps between the older entries.
 */
public class PositionHistory private constructor(
    private val millis: LongArray,
    private val positions: Array<LogPosition>,
) {
    /** The number of entries. */
    public val size: Int
        get() = millis.size

    /** The position of the newest entry, or null when there is none. */
    public val newest: LogPosition?
        get() = positions.lastOrNull()

    /**
     * Returns a history with an entry added, or this one when [atMillis] is not after the newest entry or [position] is
     * below it.
     */
    public fun plus(atMillis: Long, position: LogPosition): PositionHistory {
        if (size > 0 && (atMillis <= millis.last() || position < positions.last())) return this
        val kept = (0 until size).filter { size < CAPACITY || it >= CAPACITY / 2 || it % 2 == 0 }
        return PositionHistory(
            LongArray(kept.size + 1) { if (it < kept.size) millis[kept[it]] else atMillis },
            Array(kept.size + 1) { if (it < kept.size) positions[kept[it]] else position },
        )
    }

    /** The index of the oldest entry at or after [sinceMillis], or -1 when there is none. */
    public fun indexSince(sinceMillis: Long): Int = firstIndex { millis[it] >= sinceMillis }

    /** The time of the first entry at or beyond [position], or null when there is none. */
    public fun reachedAtMillis(position: LogPosition): Long? =
        firstIndex { positions[it] >= position }.takeIf { it >= 0 }?.let { millis[it] }

    /** The time of the first entry beyond [position], or null when there is none. */
    public fun passedAtMillis(position: LogPosition): Long? =
        firstIndex { positions[it] > position }.takeIf { it >= 0 }?.let { millis[it] }

    /** The time of the entry at [index]. */
    public fun millisAt(index: Int): Long = millis[index]

    /** The position of the entry at [index]. */
    public fun positionAt(index: Int): LogPosition = positions[index]

    private inline fun firstIndex(matches: (Int) -> Boolean): Int {
        var low = 0
        var high = size
        while (low < high) {
            val middle = (low + high) ushr 1
            if (matches(middle)) high = middle else low = middle + 1
        }
        return if (low < size) low else -1
    }

    public companion object {
        /** The history without entries. */
        public val EMPTY: PositionHistory = PositionHistory(LongArray(0), emptyArray())

        private const val CAPACITY = 128
    }
}
