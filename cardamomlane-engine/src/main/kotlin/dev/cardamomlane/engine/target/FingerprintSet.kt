package dev.cardamomlane.engine.target

/**
 * A set of 64-bit fingerprints that only grows, in one array.
 *
 * Not safe for use by several threads.
 */
internal class FingerprintSet {
    private var slots = LongArray(INITIAL_SLOTS)
    private var size = 0

    operator fun contains(fingerprint: Long): Boolean = slots[slotOf(nonZero(fingerprint))] != EMPTY

    /** Adds [fingerprint] and returns true, or returns false when it is there already. */
    fun add(fingerprint: Long): Boolean {
        val value = nonZero(fingerprint)
        val slot = slotOf(value)
        if (slots[slot] != EMPTY) return false
        slots[slot] = value
        size++
        if (size * 2 > slots.size) grow()
        return true
    }

    private fun grow() {
        val before = slots
        slots = LongArray(before.size * 2)
        for (value in before) {
            if (value != EMPTY) slots[slotOf(value)] = value
        }
    }

    /** The slot that holds [value], or the free one where it belongs. */
    private fun slotOf(value: Long): Int {
        var slot = value.toInt() and (slots.size - 1)
        while (slots[slot] != EMPTY && slots[slot] != value) slot = (slot + 1) and (slots.size - 1)
        return slot
    }

    private fun nonZero(fingerprint: Long): Long = if (fingerprint == EMPTY) 1L else fingerprint

    private companion object {
        const val EMPTY = 0L

        /** A power of two, as are all later sizes. */
        const val INITIAL_SLOTS = 16
    }
}
