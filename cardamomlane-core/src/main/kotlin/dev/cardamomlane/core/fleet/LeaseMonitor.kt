package dev.cardamomlane.core.fleet

/**
 * Decides on this host's clock which leases have expired. A lease expires when its row did not change for the duration
 * of a lease while the platform could be read. After a gap in the reads, the time of every lease starts again.
 */
internal class LeaseMonitor(private val timings: FleetTimings) {
    private val seen = HashMap<MemberId, SeenLease>()
    private var lastReadAtMillis: Long? = null

    /** The leases that the last scan returned. */
    var leases: List<LeaseRow> = emptyList()
        private set

    /** True if the last scan is at most [MAX_GAP_SCANS] scan periods old. */
    fun isCurrent(nowMillis: Long): Boolean = lastReadAtMillis.let { it != null && nowMillis - it <= maxGapMillis() }

    /** Records the [rows] that a scan returned at [nowMillis]. */
    fun read(rows: List<LeaseRow>, nowMillis: Long) {
        if (!isCurrent(nowMillis)) seen.clear()
        lastReadAtMillis = nowMillis
        leases = rows
        seen.keys.retainAll(rows.mapTo(HashSet()) { it.member.id })
        for (row in rows) {
            val earlier = seen[row.member.id]
            if (earlier?.rowVersion != row.rowVersion) seen[row.member.id] = SeenLease(row.rowVersion, nowMillis)
        }
    }

    /**
     * The members that the next record should contain: those with a lease that is neither retired nor expired. Once one
     * lease has expired, leases that missed a renewal count as expired too, so that hosts that failed together are
     * removed together.
     */
    fun liveMembers(memberCount: Int, nowMillis: Long): List<Member> {
        val leaseMillis = timings.leaseMillis(memberCount)
        val running = leases.filter { !it.isRetired }
        val hasExpired = running.any { ageMillis(it, nowMillis) >= leaseMillis }
        val periodMillis = timings.leasePeriodMillis(memberCount)
        val maxAgeMillis = if (hasExpired) leaseMillis - periodMillis else leaseMillis
        return running.filter { ageMillis(it, nowMillis) < maxAgeMillis }.map { it.member }
    }

    private fun ageMillis(row: LeaseRow, nowMillis: Long): Long =
        nowMillis - (seen[row.member.id]?.sinceMillis ?: nowMillis)

    /**
     * The members among [members] whose process has certainly ended: their lease is retired, or another incarnation on
     * the same host has taken it over with the same peer address, on which it could not listen otherwise.
     */
    fun ended(members: List<Member>): Set<MemberId> {
        val byHost = leases.associateBy { it.member.id.host }
        return members.filter { member ->
            val lease = byHost[member.id.host]
            lease != null && if (lease.member.id == member.id) {
                lease.isRetired
            } else {
                lease.member.peerAddress == member.peerAddress
            }
        }.mapTo(HashSet()) { it.id }
    }

    private fun maxGapMillis() = MAX_GAP_SCANS * timings.leaseScanMillis

    private class SeenLease(val rowVersion: Long, val sinceMillis: Long)

    private companion object {
        const val MAX_GAP_SCANS = 3
    }
}
