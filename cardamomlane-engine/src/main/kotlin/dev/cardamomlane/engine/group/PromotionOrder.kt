package dev.cardamomlane.engine.group

import dev.cardamomlane.core.TargetId

/**
 * An order to make [target] the primary. It is stored before it is sent, and may be carried out late, or never.
 *
 * @property fence the fence under which it is sent
 * @property attempt how many orders have been stored under that fence, this one included
 * @property openCount how many orders of [target] may still be carried out, this one included, by what its sender knew
 */
public data class PromotionOrder(val target: TargetId, val fence: Long, val attempt: Int, val openCount: Int) {
    public companion object {
        /** What [attempt] and [openCount] can be: one takeover sends far fewer orders. */
        public val COUNTS: IntRange = 0..1_000_000
    }
}
