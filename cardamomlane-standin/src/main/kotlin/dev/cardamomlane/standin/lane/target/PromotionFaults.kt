package dev.cardamomlane.standin.lane.target

/**
 * The faults injected into the promote call. Not safe for use by several threads.
 *
 * @property slowMillis how much later each order that arrives now is performed and answered
 * @property losesAnswers while true, orders that arrive are performed and get no answer
 * @property isDown while true, orders are answered 503 without effect
 */
internal class PromotionFaults {
    var slowMillis = 0L
    var isDown = false
    var losesAnswers = false

    /** Ends all faults. */
    fun heal() {
        slowMillis = 0
        isDown = false
        losesAnswers = false
    }
}
