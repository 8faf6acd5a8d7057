package dev.cardamomlane.core.fleet

/**
 * Judges which leases lapsed, by this host's clock: a lease lapses when its row did not change for a lease period
 * while the platform could be read. The clocks start anew after a gap in the reads.
 */
internal class LeaseWatch(private val timings: FleetTimings) {
    private val seen = HashMap<MemberId, SeenLease>()
    private var lastReadMillis: Long? = null

    /** The leases of the last scan. */
    var leases: List<LeaseRow> = emptyList()
        private set

    /** True when a scan has been read within the last few scan periods. */
    fun isCurrent(nowMillis: Long): Boolean = lastReadMillis.let { it != null && nowMillis - it <= gapMillis() }

    fun read(rows: List<LeaseRow>, nowMillis: Long) {
        if (!isCurrent(nowMillis)) seen.clear()
        lastReadMillis = nowMillis
        leases = rows
        seen.keys.retainAll(rows.mapTo(HashSet()) { it.member.id })
        for (row in rows) {
            val earlier = seen[row.member.id]
            if (earlier?.rowVersion != row.rowVersion) seen[row.member.id] = SeenLease(row.rowVersion, nowMillis)
        }
    }

    /**
     * The members that a record should hold: those with a lease that is neither retired nor lapsed. Once one lease
     * lapsed, leases that missed a renewal count as lapsed too, so that hosts that died together leave together.
     */
    fun liveMembers(memberCount: Int, nowMillis: Long): List<Member> {
        val leaseMillis = timings.leaseMillis(memberCount)
        val running = leases.filter { !it.isRetired }
        val hasLapsed = running.any { ageMillis(it, nowMillis) >= leaseMillis }
        val periodMillis = timings.leasePeriodMillis(memberCount)
        val limitMillis = if (hasLapsed) leaseMillis - periodMillis else leaseMillis
        return running.filter { ageMillis(it, nowMillis) < limitMillis }.map { it.member }
    }

    private fun ageMillis(row: LeaseRow, nowMillis: Long): Long =
        nowMillis - (seen[row.member.id]?.sinceMillis ?: nowMillis)

    /**
     * The members among [members] whose run has certainly ended: retired, or followed by another run on the same host
     * and peer address, which that run could not listen on otherwise.
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

    private fun gapMillis() = GAP_SCANS * timings.leaseScanMillis

    private class SeenLease(val rowVersion: Long, val sinceMillis: Long)

    private companion object {
        const val GAP_SCANS = 3
    }
}
