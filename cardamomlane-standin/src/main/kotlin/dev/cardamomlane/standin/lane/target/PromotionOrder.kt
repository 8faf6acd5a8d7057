package dev.cardamomlane.standin.lane.target

/**
 * One order to promote [target], as it arrived.
 *
 * @property holder who holds the duty to promote
 * @property fence increases when the holder changes
 */
internal data class PromotionOrder(val group: String, val target: String, val holder: String, val fence: Long)
