package dev.cardamomlane.standin.lane.load

import kotlin.random.Random

/** Makes the rows of reads: the data of the item, and often none or several others. Not safe for use by several threads. */
internal class OddRows(private val random: Random, private val texts: OddText) {
    private var count = 0

    /** Returns rows for [data], which is null if the item was never written. */
    fun of(data: String?): List<String> = when (random.nextInt(KINDS)) {
        0 -> emptyList()
        1 -> List(random.nextInt(2, MAX_ROWS)) { texts.last("row${count++}") }
        else -> listOf(data ?: texts.last("row${count++}"))
    }

    private companion object {
        const val KINDS = 4
        const val MAX_ROWS = 6
    }
}
