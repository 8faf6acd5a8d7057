package dev.cardamomlane.core.fleet

/**
 * The two counts that always share a member.
 *
 * A host that stays in standing without the platform heard [toStand] others; a change settles after [toSettle] members
 * knew of it. Among the other members of a host that does not know of the change both counts add up to more than all.
 */
internal object Quorum {
    /** How many other members a host must have heard. */
    fun toStand(members: Int): Int = members / 2

    /** How many members must know of a change. */
    fun toSettle(members: Int): Int = (members + 1) / 2
}
