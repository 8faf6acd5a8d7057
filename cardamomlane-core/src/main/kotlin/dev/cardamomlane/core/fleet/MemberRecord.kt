package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.SequenceNumbers
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * The members of the fleet, as the platform's table records them at one version.
 *
 * A change of members is written as a new version that also names the previous members. The version is settled, and
 * [previous] becomes null, once every host that does not know of it is certain to be out of good standing (see
 * [FleetMachine.isInStanding]).
 *
 * @property version counts up from 1; version 0 is [NONE]
 * @property members the members, ordered by their id
 * @property previous the members of the version before, until this version is settled; then null
 */
public data class MemberRecord(
    val version: Long,
    val members: ImmutableList<Member>,
    val previous: ImmutableList<Member>?,
) {
    init {
        SequenceNumbers.requireValid("version of the member record", version)
        // A member that occurs twice would count twice towards a majority.
        for (group in listOfNotNull(members, previous)) {
            require(group.distinctBy { it.id }.size == group.size) { "member record $version names a member twice" }
        }
    }

    /** True if no host uses the previous members any more. */
    public val isSettled: Boolean get() = previous == null

    /** The groups of which a majority each is needed: the members and, until this version is settled, the previous. */
    public val groups: List<ImmutableList<Member>> get() = listOfNotNull(members, previous)

    /** The members of all [groups], without repetition. */
    public val all: ImmutableList<Member> = (members + previous.orEmpty()).distinctBy { it.id }.toImmutableList()

    /** True if [id] is one of [members]. */
    public operator fun contains(id: MemberId): Boolean = members.any { it.id == id }

    /** True if this version is later than that of [other], or the same and settled while [other] is not. */
    public fun isNewerThan(other: MemberRecord): Boolean =
        version > other.version || (version == other.version && isSettled && !other.isSettled)

    /**
     * Returns the next version, in which [newMembers] replace the members.
     *
     * @throws IllegalStateException if this version is not settled
     */
    public fun changedTo(newMembers: List<Member>): MemberRecord {
        check(isSettled) { "member record version $version is not settled" }
        return MemberRecord(version + 1, newMembers.sortedBy { it.id }.toImmutableList(), previous = members)
    }

    /** Returns the same version, settled. */
    public fun settled(): MemberRecord = copy(previous = null)

    /** Contains [NONE]. */
    public companion object {
        /** The record before the first host wrote one: version 0 without members. */
        public val NONE: MemberRecord = MemberRecord(version = 0, persistentListOf(), previous = null)
    }
}
