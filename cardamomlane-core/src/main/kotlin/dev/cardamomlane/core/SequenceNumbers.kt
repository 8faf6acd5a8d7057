package dev.cardamomlane.core

/** Checks the numbers that only count up, such as terms, revisions and versions, when another process gives them. */
public object SequenceNumbers {
    /**
     * The highest number. No fleet counts this far, and the numbers after it are still far from an overflow. JSON
     * readers that use floating point numbers keep it exact.
     */
    public const val MAX: Long = 1L shl 53

    /**
     * Returns [number].
     *
     * @param name what it counts, for the message
     * @throws IllegalArgumentException if it is negative or above [MAX]
     */
    public fun requireValid(name: String, number: Long): Long {
        require(number in 0..MAX) { "$name must be from 0 to $MAX but was $number" }
        return number
    }
}
