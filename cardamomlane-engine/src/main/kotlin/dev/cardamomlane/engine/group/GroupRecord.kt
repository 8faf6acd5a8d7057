package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.fleet.StorePosition

/**
 * The stored record of which target takes the writes of one database group.
 *
 * Records of a group are ordered by their fence. Under one fence the claim comes first, then the orders to promote the
 * one target that is ordered under it, then the result. The store's positions don't order them: a store that was restored from an older copy has an older record
 * at a newer position.
 *
 * @property position the position at which the store had this record when it was last seen there
 * @property fence the fencing token, which rises with each takeover and is sent with every promotion
 * @property primary the target that takes writes, or the one that did before the takeover under way
 * @property isChanging true from the start of a takeover until the new primary is published
 * @property isPlanned true when the old primary still works, so that open transactions may finish before the takeover
 * @property holder the host and incarnation that runs or ran the takeover, as `host#incarnation`
 * @property term the log term of [primary], or an earlier one when that is not known
 * @property takeoverFence the fence of the first claim of the takeover that is or was under way; a takeover that lost its
 *   holder is claimed again under a higher fence
 * @property order the newest order of a promotion that may still be carried out, or null when there is none
 * @property startOfTerm how far the log of [primary] went when it became primary, or null when that is not known
 */
public data class GroupRecord(
    val group: DatabaseId,
    val position: StorePosition,
    val fence: Long,
    val primary: TargetId,
    val isChanging: Boolean,
    val isPlanned: Boolean,
    val holder: String,
    val term: Long,
    val order: PromotionOrder? = null,
    val takeoverFence: Long = fence,
    val startOfTerm: LogPosition? = null,
) {
    /** How many orders have been stored under [fence]. */
    private val orderCount: Int get() = order?.takeIf { it.fence == fence }?.attempt ?: 0

    /** True when this record follows [other], wherever the store has them. */
    public fun isNewerThan(other: GroupRecord): Boolean = compareValuesBy(
        this,
        other,
        { it.fence },
        { !it.isChanging },
        { if (it.isChanging) it.orderCount else 0 },
    ) > 0

    /** The first fence of the takeover that a claim under [newFence] continues, or [newFence] if it starts one. */
    public fun takeoverFenceOf(newFence: Long): Long = if (isChanging) takeoverFence else newFence

    public companion object {
        /** The primary in a record when none is known. */
        public val NO_TARGET: TargetId = TargetId("-")

        /** More than the takeovers of one group in an epoch of the store. */
        private const val FENCES_PER_EPOCH = 1_000_000L

        /** The highest fence that a record can have whose row was seen in [epoch] of the store, see [nextFence]. */
        public fun highestFence(epoch: Long): Long = maxOf(StorePosition.FIRST_EPOCH, epoch) * FENCES_PER_EPOCH

        /**
         * The fence of a claim that follows [known], the newest known record if any, in [epoch] of the store. It
         * exceeds all fences of earlier epochs, also those that the store lost and no host remembers.
         */
        public fun nextFence(known: GroupRecord?, epoch: Long): Long {
            val lastOfEarlierEpochs = maxOf(0, epoch - StorePosition.FIRST_EPOCH) * FENCES_PER_EPOCH
            return maxOf(known?.fence ?: 0, lastOfEarlierEpochs) + 1
        }
    }
}
