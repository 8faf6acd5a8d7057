package dev.cardamomlane.core.capacity

/**
 * The load of one target over some time, as all members together measured it.
 *
 * The answers are kept apart by the zone of the member, because a slow network path makes the target look loaded only
 * to the callers of one zone: the target itself is as loaded as the zone with the lowest ratio shows.
 */
internal class LoadEvidence {
    private class Sums(var answered: Double = 0.0, var tookMillis: Double = 0.0, var workMillis: Double = 0.0)

    private val sumsByZone = HashMap<String, Sums>()
    private var runningMillis = 0.0

    /** The time that the evidence covers. */
    var durationMillis: Double = 0.0
        private set

    /** The answers of all zones. */
    val answeredCount: Double get() = sumsByZone.values.sumOf { it.answered }

    /** The mean number of statements that ran. */
    val running: Double get() = if (durationMillis > 0) runningMillis / durationMillis else 0.0

    /** How many times longer answers took than at the unloaded target, in the zone where this is lowest. */
    val loadRatio: Double
        get() {
            val enough = minOf(MIN_ZONE_ANSWERS, answeredCount)
            return sumsByZone.values.filter { it.answered >= enough && it.workMillis > 0 }
                .minOfOrNull { it.tookMillis / it.workMillis } ?: 1.0
        }

    /** Adds a window of [windowMillis], over which [samples] are the members' measurements by zone. */
    fun add(samples: Map<String, List<CapacitySample>>, windowMillis: Double) {
        durationMillis += windowMillis
        val seconds = windowMillis / MILLIS_PER_SECOND
        for ((zone, members) in samples) {
            val sums = sumsByZone.getOrPut(zone) { Sums() }
            sums.answered += members.sumOf { it.answeredPerSecond } * seconds
            sums.tookMillis += members.sumOf { it.tookMillisPerSecond } * seconds
            sums.workMillis += members.sumOf { it.workMillisPerSecond } * seconds
            runningMillis += members.sumOf { it.running } * windowMillis
        }
    }

    /** Forgets everything. */
    fun clear() {
        sumsByZone.clear()
        runningMillis = 0.0
        durationMillis = 0.0
    }

    private companion object {
        /** A zone with fewer answers is not compared with others. */
        const val MIN_ZONE_ANSWERS = 3.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
