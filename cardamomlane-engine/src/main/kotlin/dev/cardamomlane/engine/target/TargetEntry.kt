package dev.cardamomlane.engine.target

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId

/**
 * One entry of the platform's list of targets, as the target reports it.
 *
 * @property group the group of databases that replicate from one primary, to which the target belongs
 * @property isDraining true when the target is about to stop and takes no new work
 * @property slotCount how many statements the target runs at once, for all hosts together
 * @property isPrimary the role that the target last reported
 * @property startedAtUnixMillis Unix time of the target's start, or 0 when unknown
 * @property sequence the target's own count of its reports since its start
 * @property warmUpMillis how much longer the target warms up, as of this report; 0 when it does not
 */
public data class TargetEntry(
    val id: TargetId,
    val group: DatabaseId,
    val address: String,
    val zone: String,
    val slotCount: Int,
    val isDraining: Boolean,
    val isPrimary: Boolean,
    val startedAtUnixMillis: Long,
    val sequence: Long,
    val warmUpMillis: Long = 0,
) {
    /** True when the target wrote this entry after [other], an entry of the same target. */
    public fun isNewerThan(other: TargetEntry): Boolean =
        compareValuesBy(this, other, { it.startedAtUnixMillis }, { it.sequence }) > 0
}
