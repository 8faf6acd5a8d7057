package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.target.Target

/**
 * Decides whether the primary of one group should be replaced, from how this host and the other alive hosts reach it.
 *
 * A primary that still works is replaced only if another target may serve in its place. One that is lost is replaced also
 * if none may, where a commit is acknowledged only once a replica has received it: the replicas that are about to leave may
 * alone have such commits, and their end is no reason to wait.
 *
 * Not safe for use by several threads.
 *
 * @param isReplicated true when a commit is acknowledged only once a replica has received it
 */
internal class ReplacementTrigger(
    private val group: DatabaseGroup,
    private val fleet: Fleet,
    private val isReplicated: () -> Boolean,
    private val customerName: () -> String?,
) {
    private var suspectedSinceMillis: Long? = null
    private var outOfReachSinceMillis: Long? = null
    private var unlistedSinceMillis: Long? = null
    private var probedAtMillis = GroupRecords.NEVER

    /**
     * Why the group's primary should be replaced, or null when it should stay. The reason counts once it has applied
     * for [ReplacementReason.minDurationMillis].
     *
     * @param mayPlan false when a primary that still answers must stay, for example after a takeover that was given up
     */
    fun reason(nowMillis: Long, mayPlan: Boolean): ReplacementReason? {
        val primary = group.primary ?: return unlistedReason(nowMillis)
        unlistedSinceMillis = null
        val others = group.targets.filter { it !== primary }
        if (others.none(::mayLead)) return null
        val mayPlanNow = mayPlan && others.any(::isEligible)
        return drainingReason(primary, nowMillis, mayPlanNow) ?: unreachableReason(primary, nowMillis)
            ?: outOfReachReason(primary, nowMillis, mayPlanNow) ?: lostRoleReason(primary)
    }

    /** The record is wrong when its primary says that it is a replica: the takeover finds the one that is primary. */
    private fun lostRoleReason(primary: Target): ReplacementReason? = primary.replicaSinceMillis?.let { since ->
        ReplacementReason("primary reports to be a replica", isPlanned = false, since, LOST_ROLE_MILLIS)
    }

    private fun unlistedReason(nowMillis: Long): ReplacementReason? {
        val isReachedElsewhere = fleet.alivePeers(nowMillis).any { peer ->
            (peer.groupStatus(group.id.value)?.primaryHeardMillis ?: -1) in 0 until MISSING_MILLIS
        }
        if (group.targets.none(::mayLead) || isReachedElsewhere) {
            unlistedSinceMillis = null
            return null
        }
        val since = unlistedSinceMillis ?: nowMillis.also { unlistedSinceMillis = it }
        return ReplacementReason("no primary is listed", isPlanned = false, since, MISSING_MILLIS)
    }

    private fun drainingReason(primary: Target, nowMillis: Long, mayPlan: Boolean): ReplacementReason? {
        if (!mayPlan || primary.unreachableSinceMillis != null) return null
        val text = when {
            primary.entry.isDraining -> "primary is leaving"
            primary.zoneGate.isDraining -> "primary is in a draining zone"
            else -> return null
        }
        return ReplacementReason(text, isPlanned = true, sinceMillis = nowMillis, minDurationMillis = 0)
    }

    private fun unreachableReason(primary: Target, nowMillis: Long): ReplacementReason? {
        val ownSince = primary.unreachableSinceMillis ?: primary.goneAtMillis
        val isReachedElsewhere = fleet.alivePeers(nowMillis).any { peer ->
            val answerAgeMillis = peer.groupStatus(group.id.value)?.primaryHeardMillis ?: -1
            answerAgeMillis in 0 until LOST_MILLIS && primary.entry.id.value !in unreachableTargets(peer)
        }
        if (ownSince == null) probeIfReportedUnreachable(primary, nowMillis)
        if (ownSince == null || isReachedElsewhere) {
            suspectedSinceMillis = null
            return null
        }
        val since = suspectedSinceMillis ?: ownSince.also { suspectedSinceMillis = it }
        val minDurationMillis = if (primary.isRefusingConnections) REFUSED_MILLIS else LOST_MILLIS
        return ReplacementReason("primary does not answer", isPlanned = false, since, minDurationMillis)
    }

    /** Sends the primary a status query when another host can't reach it, so that the hosts soon agree. */
    private fun probeIfReportedUnreachable(primary: Target, nowMillis: Long) {
        if (nowMillis - probedAtMillis < PROBE_MILLIS || nowMillis - primary.lastAnswerAtMillis < PROBE_MILLIS) return
        if (unreachableCount(primary, nowMillis) == 0) return
        val customer = customerName() ?: return
        probedAtMillis = nowMillis
        primary.status(customer) { _, _ -> }
    }

    private fun outOfReachReason(primary: Target, nowMillis: Long, mayPlan: Boolean): ReplacementReason? {
        val reportingCount = unreachableCount(primary, nowMillis)
        val isOutOfReach = reportingCount >= fleet.aliveCount(nowMillis) * OUT_OF_REACH_RATIO && reportingCount > 0
        if (!isOutOfReach || !mayPlan) {
            outOfReachSinceMillis = null
            return null
        }
        val since = outOfReachSinceMillis ?: nowMillis.also { outOfReachSinceMillis = it }
        return ReplacementReason("primary is out of reach of many hosts", isPlanned = true, since, OUT_OF_REACH_MILLIS)
    }

    /** How many of the other alive hosts report that they can't reach [target]. */
    fun unreachableCount(target: Target, nowMillis: Long): Int =
        fleet.alivePeers(nowMillis).count { target.entry.id.value in unreachableTargets(it) }

    /** True when [target] may be sent new statements, and so may take the place of a primary that still works. */
    private fun isEligible(target: Target): Boolean = target.isEligible

    /** True when [target] may take the place of a primary that is lost. */
    private fun mayLead(target: Target): Boolean = if (isReplicated()) target.isInReach else isEligible(target)

    private fun unreachableTargets(peer: Peer): List<String> =
        peer.groupStatus(group.id.value)?.unreachable ?: emptyList()

    private companion object {
        /** How long the primary must be silent, and how recent an answer to another host shows that it is not lost. */
        const val LOST_MILLIS = 500L

        /** [LOST_MILLIS] for a primary that refuses connections; part of CLAIM_MILLIS in TakeoverTest. */
        const val REFUSED_MILLIS = 150L

        /** How long no primary may be listed, and how recent an answer to another host shows that there is one. */
        const val MISSING_MILLIS = 2_500L

        /** The part of the alive hosts, this one included, from which on the primary is out of reach of many. */
        const val OUT_OF_REACH_RATIO = 0.35

        /** How long the primary must be out of reach of many hosts. */
        const val OUT_OF_REACH_MILLIS = 500L

        /** How long the primary must have reported to be a replica; several reports, so that none was merely late. */
        const val LOST_ROLE_MILLIS = 1_000L

        /** The least time since the primary's last answer, and between two probes, before it is probed. */
        const val PROBE_MILLIS = 150L
    }
}
