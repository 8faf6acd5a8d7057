package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.group.PromotionOrder

/**
 * Checks the values in messages of other hosts.
 *
 * A message with a value that no host can have is dropped as a whole, as one that can't be decoded. Believed, such a value
 * would stay the newest for good, or overflow where it is added to.
 */
internal object PeerMessageCheck {
    /** More than any counter or clock of a host reaches; sums of two don't overflow. */
    private const val MAX_NUMBER = SequenceNumbers.MAX
    private val NUMBERS = 0..MAX_NUMBER

    /** Ages and times may be negative on a host whose clock starts below zero. */
    private val TIMES_MILLIS = -MAX_NUMBER..MAX_NUMBER

    /** True when a host can have sent [message], apart from a heartbeat that is still compressed. */
    fun isValid(message: PeerMessage): Boolean = message.from.isNotBlank() &&
        message.heartbeat?.let(::isValid) != false && message.termStarts.orEmpty().all(::isValid)

    /** True when a host can have sent [heartbeat]. */
    fun isValid(heartbeat: Heartbeat): Boolean {
        val times = listOf(
            heartbeat.sentAtMillis,
            heartbeat.answeredSentAtMillis,
            heartbeat.answeredHeldMillis,
            heartbeat.proofAgeMillis,
        )
        return times.all { it in TIMES_MILLIS } && heartbeat.configurationVersion in -1..MAX_NUMBER &&
            heartbeat.groups.all(::isValid) && heartbeat.demand.all(::isValid)
    }

    /** True when a host can have sent [details] beside [heartbeat]. Those of groups without a status are not used. */
    fun areValid(details: List<RecordDetail>, heartbeat: Heartbeat): Boolean {
        val statuses = heartbeat.groups.associateBy { it.group }
        return details.all { detail -> statuses[detail.group]?.let { isValid(detail, it) } ?: true }
    }

    private fun isValid(start: TermStart): Boolean = start.term in NUMBERS && start.offset in NUMBERS

    private fun isValid(detail: RecordDetail, status: GroupStatus): Boolean {
        val fences = 0..GroupRecord.highestFence(status.position.epoch)
        val order = detail.order ?: return detail.takeoverFence in fences
        return detail.takeoverFence in fences && order.fence in fences && order.target.isNotBlank() &&
            order.attempt in PromotionOrder.COUNTS && order.openCount in PromotionOrder.COUNTS
    }

    private fun isValid(status: GroupStatus): Boolean {
        val highestFence = GroupRecord.highestFence(status.position.epoch)
        val numbers = listOf(status.recordTerm, status.positionTerm, status.positionOffset)
        val times = listOf(status.positionAgeMillis, status.primaryHeardMillis)
        return status.group.isNotBlank() && (status.fence == 0L || status.primary.isNotBlank()) &&
            status.fence in 0..highestFence && status.confirmedFence in 0..status.fence &&
            numbers.all { it in NUMBERS } && times.all { it in TIMES_MILLIS }
    }

    private fun isValid(demand: CustomerDemand): Boolean =
        demand.customer.isNotBlank() && demand.perSecond.isFinite() && demand.perSecond >= 0 &&
            demand.admittedCount in NUMBERS
}
