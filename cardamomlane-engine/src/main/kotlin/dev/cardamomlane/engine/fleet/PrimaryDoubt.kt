package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.target.Target

/**
 * Tells whether the primary of one group should be replaced, from what this host and the others heard of it.
 *
 * Not safe for use by several threads.
 */
internal class PrimaryDoubt(
    private val group: DatabaseGroup,
    private val fleet: Fleet,
    private val customerName: () -> String?,
) {
    private var suspectedSinceMillis: Long? = null
    private var partSinceMillis: Long? = null
    private var primaryMissingSinceMillis: Long? = null
    private var probedAtMillis = Standing.NEVER

    /**
     * Why the group's primary should be replaced now, or null.
     *
     * @param mayPlan false while a replacement of a primary that still answers was given up a moment ago
     */
    fun reason(nowMillis: Long, mayPlan: Boolean): ReplacementReason? {
        val primary = group.primary ?: return missingPrimary(nowMillis)
        primaryMissingSinceMillis = null
        if (group.targets.none { it !== primary && mayLead(it) }) return null
        return leaving(primary, nowMillis, mayPlan) ?: lost(primary, nowMillis)
            ?: partlyReached(primary, nowMillis, mayPlan)
    }

    private fun missingPrimary(nowMillis: Long): ReplacementReason? {
        val isKnownElsewhere = fleet.heardPeers(nowMillis).any { peer ->
            (peer.note(group.id.value)?.primaryHeardMillis ?: -1) in 0 until MISSING_MILLIS
        }
        if (group.targets.none(::mayLead) || isKnownElsewhere) {
            primaryMissingSinceMillis = null
            return null
        }
        val since = primaryMissingSinceMillis ?: nowMillis.also { primaryMissingSinceMillis = it }
        return ReplacementReason("no primary is listed", isPlanned = false, since, MISSING_MILLIS)
    }

    private fun leaving(primary: Target, nowMillis: Long, mayPlan: Boolean): ReplacementReason? {
        if (!mayPlan || !primary.entry.isDraining || primary.unreachableSinceMillis != null) return null
        return ReplacementReason("primary is leaving", isPlanned = true, sinceMillis = nowMillis, patienceMillis = 0)
    }

    private fun lost(primary: Target, nowMillis: Long): ReplacementReason? {
        val ownSince = primary.unreachableSinceMillis ?: primary.goneAtMillis
        val isHeardElsewhere = fleet.heardPeers(nowMillis).any { peer ->
            val heardMillis = peer.note(group.id.value)?.primaryHeardMillis ?: -1
            heardMillis in 0 until LOST_MILLIS && primary.entry.id.value !in unreachableFor(peer)
        }
        if (ownSince == null) probeIfDoubted(primary, nowMillis)
        if (ownSince == null || isHeardElsewhere) {
            suspectedSinceMillis = null
            return null
        }
        val since = suspectedSinceMillis ?: ownSince.also { suspectedSinceMillis = it }
        val patienceMillis = if (primary.isRefusingConnections) REFUSED_MILLIS else LOST_MILLIS
        return ReplacementReason("primary does not answer", isPlanned = false, since, patienceMillis)
    }

    /** Asks the primary something when another host can't reach it, so that the hosts soon agree. */
    private fun probeIfDoubted(primary: Target, nowMillis: Long) {
        if (nowMillis - probedAtMillis < PROBE_MILLIS || nowMillis - primary.lastAnswerAtMillis < PROBE_MILLIS) return
        if (count(primary, nowMillis) == 0) return
        val customer = customerName() ?: return
        probedAtMillis = nowMillis
        primary.status(customer) { _, _ -> }
    }

    private fun partlyReached(primary: Target, nowMillis: Long, mayPlan: Boolean): ReplacementReason? {
        val doubting = count(primary, nowMillis)
        val isPart = doubting >= fleet.heardCount(nowMillis) * PART && doubting > 0
        if (!isPart || !mayPlan) {
            partSinceMillis = null
            return null
        }
        val since = partSinceMillis ?: nowMillis.also { partSinceMillis = it }
        return ReplacementReason("primary is out of reach of many hosts", isPlanned = true, since, PART_MILLIS)
    }

    /** How many of the other hosts heard lately can't reach [target]. */
    fun count(target: Target, nowMillis: Long): Int =
        fleet.heardPeers(nowMillis).count { target.entry.id.value in unreachableFor(it) }

    /** True when [target] may become primary, as far as this host sees it. */
    fun mayLead(target: Target): Boolean =
        target.goneAtMillis == null && !target.entry.isDraining && target.unreachableSinceMillis == null

    private fun unreachableFor(peer: Peer): List<String> = peer.note(group.id.value)?.unreachable ?: emptyList()

    private companion object {
        const val LOST_MILLIS = 500L
        const val REFUSED_MILLIS = 150L
        const val MISSING_MILLIS = 2_500L
        const val PART = 0.35
        const val PART_MILLIS = 500L
        const val PROBE_MILLIS = 150L
    }
}
