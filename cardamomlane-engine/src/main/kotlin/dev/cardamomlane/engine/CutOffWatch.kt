package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.Fleet
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.log.DecisionLog

/**
 * Tells when this host is cut off: a member whose proof has expired, see [GroupRecords], and that counts fewer than a
 * majority of the members, itself included, as alive; or another host that knows no member which takes operations. It
 * can serve hardly anything then, and other hosts probably can.
 *
 * Not safe for use by several threads.
 */
internal class CutOffWatch(
    private val fleet: Fleet,
    private val groupRecords: GroupRecords,
    private val timers: TimerService,
    private val log: DecisionLog,
) {
    private var sinceMillis: Long? = null

    /** True when this host has been cut off for a while. To be called several times a second. */
    fun isCutOff(): Boolean {
        val nowMillis = timers.nowMillis()
        if (!isOutOfReach(nowMillis)) {
            sinceMillis = null
            return false
        }
        val since = sinceMillis ?: nowMillis.also {
            sinceMillis = it
            log.event("host", "cut_off", "heard", fleet.aliveCount(nowMillis), "members", fleet.size)
        }
        return nowMillis - since >= GRACE_MILLIS
    }

    private fun isOutOfReach(nowMillis: Long): Boolean = when {
        !fleet.hasReadMembers -> false
        fleet.isRegistered -> !groupRecords.isCurrent(nowMillis) && fleet.aliveCount(nowMillis) < fleet.majority
        else -> fleet.directory.usable(nowMillis).isEmpty()
    }

    private companion object {
        /** How long this host must be out of reach before it counts as cut off. */
        const val GRACE_MILLIS = 400L
    }
}
