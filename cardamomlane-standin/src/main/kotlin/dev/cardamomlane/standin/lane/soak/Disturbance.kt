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

    companion object {
        /** How long after something unplanned bounds of time do not hold yet. */
        private const val STABLE_MILLIS = 4_000L

        /** The bound within which hosts go by a configuration, 3 s, and some time until it is written. */
        const val APPLY_MILLIS = 3_200L

        /** Whether none of [disturbances] that was unplanned went on from a while before [fromMillis] until [toMillis]. */
        fun isCalm(disturbances: List<Disturbance>, fromMillis: Long, toMillis: Long): Boolean =
            disturbances.none { !it.kind.isPlanned && it.overlaps(fromMillis - STABLE_MILLIS, toMillis) }
    }
}
