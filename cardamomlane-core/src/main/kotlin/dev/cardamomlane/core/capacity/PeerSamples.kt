package dev.cardamomlane.core.capacity

/** The samples that the other members last reported for one target. Each expires [EXPIRY_MILLIS] after its arrival. */
internal class PeerSamples {
    private val entriesByMember = HashMap<String, Entry>()

    /** Replaces the sample of [member], which runs in [zone]. */
    fun put(member: String, zone: String, sample: CapacitySample, nowMillis: Long) {
        entriesByMember[member] = Entry(zone, sample, nowMillis)
    }

    /** Drops the samples that have expired. */
    fun expire(nowMillis: Long) {
        entriesByMember.values.removeIf { nowMillis - it.receivedAtMillis >= EXPIRY_MILLIS }
    }

    /** The samples that have not expired. */
    val all: List<CapacitySample> get() = entriesByMember.values.map { it.sample }

    /** The same samples by the zone of the member. */
    val byZone: Map<String, List<CapacitySample>>
        get() = entriesByMember.values.groupBy({ it.zone }, { it.sample })

    /** The mean number of statements that the other members run. */
    val running: Double get() = entriesByMember.values.sumOf { it.sample.running }

    /** The number of other members that have work for the target. */
    val activeCount: Int get() = entriesByMember.values.count { it.sample.running >= ACTIVE_RUNNING }

    private class Entry(val zone: String, val sample: CapacitySample, val receivedAtMillis: Long)

    private companion object {
        /** Four heartbeats, so that three may be lost; a frozen member's running count is dropped after this time. */
        const val EXPIRY_MILLIS = 1_000L

        /** A member that runs less than this is taken to have no work. */
        const val ACTIVE_RUNNING = 0.1
    }
}
