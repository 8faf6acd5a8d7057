package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import kotlinx.collections.immutable.ImmutableList

/**
 * What a host knows of a group while it decides which target a takeover promotes.
 *
 * @property primary the primary that is to be replaced
 * @property term the term of [primary], or an earlier one when that is not known
 * @property startOfTerm how far the log of [primary] went when its promotion was ordered, or null when that is not known. A
 *   replica may lack commits before it that were acknowledged by earlier primaries
 * @property isPlanned true when [primary] still worked when the takeover began
 * @property isReplicated true when a commit is acknowledged only once a replica has received it
 * @property targets the targets that may hold commits of the group, [primary] included if this host knows it
 * @property knowsAllTargets false when this host started so recently that it may not know of a target which has left
 * @property waitedMillis how long the targets have been queried
 */
public data class TakeoverFacts(
    val primary: TargetId,
    val term: Long,
    val startOfTerm: LogPosition?,
    val isPlanned: Boolean,
    val isReplicated: Boolean,
    val targets: ImmutableList<TargetFacts>,
    val knowsAllTargets: Boolean = true,
    val waitedMillis: Long = 0,
)
