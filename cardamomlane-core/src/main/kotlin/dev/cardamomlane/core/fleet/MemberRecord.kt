package dev.cardamomlane.core.fleet

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * The members of record at one version.
 *
 * A change of members is written as a new version that still names the members before it. It is settled, and
 * [previous] becomes null, when every host that does not know of it is certain to be out of standing.
 *
 * @property version counts up from 1; version 0 is [NONE]
 * @property members ordered by host name
 * @property previous the members before this version while the change is not settled, else null
 */
public data class MemberRecord(
    val version: Long,
    val members: ImmutableList<Member>,
    val previous: ImmutableList<Member>?,
) {
    /** True when no host uses the members before this version any more. */
    public val isSettled: Boolean get() = previous == null

    /** The groups of members of which a majority each must be heard: the members, and those before while they count. */
    public val groups: List<ImmutableList<Member>> get() = listOfNotNull(members, previous)

    /** Every member of this version or the one before while that counts, without repetition. */
    public val all: ImmutableList<Member> = (members + previous.orEmpty()).distinctBy { it.id }.toImmutableList()

    /** True when [id] is one of the members. */
    public operator fun contains(id: MemberId): Boolean = members.any { it.id == id }

    /** True when this record is later than [other], or the same version and settled where [other] is not. */
    public fun isNewerThan(other: MemberRecord): Boolean =
        version > other.version || (version == other.version && isSettled && !other.isSettled)

    /** The next version, in which [newMembers] replace the members. Only a settled record may change. */
    public fun changedTo(newMembers: List<Member>): MemberRecord {
        check(isSettled) { "record $version is not settled" }
        return MemberRecord(version + 1, newMembers.sortedBy { it.id }.toImmutableList(), previous = members)
    }

    /** The same version, settled. */
    public fun settled(): MemberRecord = copy(previous = null)

    /** The record before the first host wrote one. */
    public companion object {
        /** No members. */
        public val NONE: MemberRecord = MemberRecord(version = 0, persistentListOf(), previous = null)
    }
}
