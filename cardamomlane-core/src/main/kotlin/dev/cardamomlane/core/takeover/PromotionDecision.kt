package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.TargetId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** What a takeover does about the primary, see [PromotionRule]. */
public sealed interface PromotionDecision {
    /**
     * Nothing yet: query the targets again.
     *
     * @property awaited the targets that may hold acknowledged commits that the others lack
     */
    public data class Wait(val awaited: ImmutableList<TargetId> = persistentListOf()) : PromotionDecision

    /**
     * Promote [target].
     *
     * @property leftOut the targets that may hold acknowledged commits which [target] lacks, and that were waited for in
     *   vain
     */
    public data class Promote(val target: TargetId, val leftOut: ImmutableList<TargetId> = persistentListOf()) :
        PromotionDecision

    /** Keep the old primary, which answers. */
    public data class Keep(val reason: String) : PromotionDecision
}
