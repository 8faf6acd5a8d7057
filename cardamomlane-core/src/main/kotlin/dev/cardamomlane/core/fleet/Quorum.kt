package dev.cardamomlane.core.fleet

/**
 * The two member counts whose sets always intersect.
 *
 * A host stays in good standing (see [FleetMachine.isInStanding]) without the platform while [forStanding] other
 * members answer it. A change settles after [forSettling] members knew of it. For a host that does not know of the
 * change, both counts together exceed the number of other members, so one of the members that answered it knows of the
 * change.
 */
internal object Quorum {
    /** How many other members must have answered a host that is one of [members]. */
    fun forStanding(members: Int): Int = members / 2

    /** How many of [members] must know of a change. */
    fun forSettling(members: Int): Int = (members + 1) / 2
}
