package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.line.TextTrait
import kotlin.random.Random

/**
 * Makes the texts of fields. Odd ones hold what the line protocol allows but a lax reader misreads.
 *
 * @param oddShare the share of texts that are odd, of 1
 */
internal class OddText(private val random: Random, private val oddShare: Double) {
    /** Returns a last field of a line, which may be empty and hold blanks. */
    fun last(plain: String): String = if (isOdd()) odd(plain, TextTrait.entries) else plain

    /** Returns a field that another one follows: not empty and without blanks. */
    fun inner(plain: String): String = if (isOdd()) odd(plain, INNER_TRAITS).replace(" ", "") else plain

    private fun isOdd() = random.nextDouble() < oddShare

    private fun odd(plain: String, traits: List<TextTrait>): String = with(plain) {
        val at = random.nextInt(1, length + 1)
        when (traits.random(random)) {
            TextTrait.LINE_FEED -> insert(at, if (random.nextInt(SMUGGLED_SHARE) == 0) SMUGGLED else "\n")
            TextTrait.CARRIAGE_RETURN -> insert(at, "\r")
            TextTrait.ZERO -> insert(at, "\u0000")
            TextTrait.HIGH_BYTE -> insert(
                at,
                String(
                    CharArray(random.nextInt(1, 4)) {
                        random.nextInt(0x80, 0x100).toChar()
                    },
                ),
            )
            TextTrait.WORDS -> insert(at, WORDS.random(random))
            TextTrait.EDGE_BLANK -> if (random.nextBoolean()) " $this" else "$this "
            TextTrait.BLANK -> insert(at, " ".repeat(random.nextInt(1, 3))) + "z"
            TextTrait.EMPTY -> ""
        }
    }

    private fun String.insert(at: Int, text: String) = substring(0, at) + text + substring(at)

    private companion object {
        val WORDS = listOf(" WRITE nwix", " READ q7", " AFTER 9.9")

        /** Reads as a message of its own where a line feed alone ends a line. */
        const val SMUGGLED = "\nQUERY x READ 1a"
        const val SMUGGLED_SHARE = 4
        val INNER_TRAITS =
            listOf(TextTrait.LINE_FEED, TextTrait.CARRIAGE_RETURN, TextTrait.ZERO, TextTrait.HIGH_BYTE)
    }
}
