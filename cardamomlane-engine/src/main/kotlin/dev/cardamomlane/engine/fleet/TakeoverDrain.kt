package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord

/**
 * Tells when no host can acknowledge a write of the old primary of one group any more, after a takeover was claimed.
 *
 * That is so once every member has confirmed the claim, or once all proof has expired that hosts got before they knew of
 * it.
 *
 * Not safe for use by several threads.
 */
internal class TakeoverDrain(private val group: DatabaseGroup, private val fleet: Fleet) {
    private var tooFewAliveSinceMillis: Long? = null

    /**
     * True when so many hosts are alive, this one included, that the others alone are no majority and get no proof from
     * each other's heartbeats, or when too few have been alive for [TOO_FEW_ALIVE_MILLIS]. A claim without enough of
     * them would only stop the hosts that still reach the primary.
     */
    fun mayClaim(nowMillis: Long): Boolean {
        if (fleet.aliveCount(nowMillis) >= fleet.blockingCount) {
            tooFewAliveSinceMillis = null
            return true
        }
        val since = tooFewAliveSinceMillis ?: nowMillis.also { tooFewAliveSinceMillis = it }
        return nowMillis - since > TOO_FEW_ALIVE_MILLIS
    }

    /** How long a takeover may wait until enough members are taken to know of it, as [hasOldProofExpired] does. */
    fun informingMillis(nowMillis: Long): Long =
        if (fleet.aliveCount(nowMillis) < fleet.blockingCount) TOO_FEW_ALIVE_MILLIS else 0

    /** True when this host and every other member have confirmed [claim], or an earlier one of the same takeover. */
    fun isConfirmed(claim: GroupRecord): Boolean =
        group.confirmedFence >= claim.takeoverFence && fleet.peers.all { peer ->
            (peer.groupStatus(group.id.value)?.confirmedFence ?: 0) >= claim.takeoverFence
        }

    /**
     * True when all proof that hosts got before they knew of the claim has expired. They can't have got such proof from
     * the store after the claim, nor from heartbeats of a majority after [Fleet.blockingCount] members knew of it.
     */
    fun hasOldProofExpired(now: TakeoverPhase.Draining, nowMillis: Long): Boolean {
        val informed = 1 + fleet.peers.count { (it.groupStatus(group.id.value)?.fence ?: 0) >= now.record.fence }
        if (now.informedAtMillis == null && informed >= fleet.blockingCount) now.informedAtMillis = nowMillis
        val informedAtMillis = now.informedAtMillis ?: (now.claimedAtMillis + TOO_FEW_ALIVE_MILLIS)
        return nowMillis >= maxOf(now.claimedAtMillis, informedAtMillis) + PROOF_EXPIRY_MILLIS
    }

    companion object {
        /** How long after it was got proof has certainly expired. */
        const val PROOF_EXPIRY_MILLIS = GroupRecords.MAX_AGE_MILLIS + 50

        /**
         * A host that has had fewer alive members than [Fleet.blockingCount] for this time claims all the same. Also
         * the time after a claim from which on that many members are taken to know of it, though fewer have reported
         * so. Such a host must claim nothing while the others may still serve: TakeoverTest expects no claim for 4 s.
         */
        const val TOO_FEW_ALIVE_MILLIS = 12_000L
    }
}
