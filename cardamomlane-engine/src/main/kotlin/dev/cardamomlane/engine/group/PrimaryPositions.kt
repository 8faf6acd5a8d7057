package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/**
 * The recent log positions of one group's primary. Positions of another primary than the last one replace all others.
 *
 * Not safe for use by several threads.
 */
internal class PrimaryPositions {
    private val history = PositionHistory()
    private var primary: TargetId? = null

    /** The newest position, or null when none is known. */
    val newest: PositionSample? get() = history.newest

    /** Adds a [sample] of [from], which is the primary now; null only says that it is. */
    fun add(from: TargetId, sample: PositionSample?) {
        if (from != primary) {
            history.clear()
            primary = from
        }
        if (sample != null) history.add(sample)
    }

    /** Forgets the positions, unless they are of [newPrimary]. */
    fun clearUnlessOf(newPrimary: TargetId) {
        if (newPrimary != primary) history.clear()
    }

    /** How long ago the primary was first seen beyond [position], in milliseconds, or 0 when it was not. */
    fun lagMillis(position: LogPosition, nowMillis: Long): Long = history.lagMillis(position, nowMillis)

    /** The lowest known position that includes every write acknowledged before [millis], or null. */
    fun covering(millis: Long): LogPosition? = history.covering(millis)
}
