package dev.cardamomlane.standin.lane.soak

/**
 * One disturbance of a soak. Times count from the start of its record.
 *
 * @property subject the host, target or customer that it meets; empty for the store and the promote call
 * @property endMillis when its direct effect was over; [Long.MAX_VALUE] while it goes on
 */
internal data class Disturbance(
    val kind: DisturbanceKind,
    val subject: String,
    val startMillis: Long,
    val endMillis: Long = Long.MAX_VALUE,
) {
    /** Whether it went on at some time of [fromMillis] to [toMillis]. */
    fun overlaps(fromMillis: Long, toMillis: Long): Boolean = startMillis <= toMillis && endMillis >= fromMillis
}
