package dev.cardamomlane.engine

/**
 * What operations hold of one kind.
 *
 * @property oldestMillis for how long the one that is held the longest has been held, or 0 when none is
 */
public data class Held(val count: Int, val oldestMillis: Long) {
    internal companion object {
        /** What is held at [nowMillis], given since when each one has been. */
        fun of(sinceMillis: List<Long>, nowMillis: Long): Held =
            Held(sinceMillis.size, sinceMillis.minOrNull()?.let { nowMillis - it } ?: 0)
    }
}
