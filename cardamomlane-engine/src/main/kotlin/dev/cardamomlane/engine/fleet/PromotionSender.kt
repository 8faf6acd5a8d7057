package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.group.PromotionOrder
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.guarded

/**
 * Stores the orders of one group's promotions in its record, and sends each once it is stored.
 *
 * So a host that finds the takeover without its holder knows which target may still be promoted. An order is sent only
 * shortly after the record was known to have it, so that no other host can have claimed the record meanwhile.
 *
 * Not safe for use by several threads.
 */
internal class PromotionSender(
    private val group: DatabaseGroup,
    private val fleet: Fleet,
    private val promotion: PromotionCall,
    private val orders: OpenOrders,
    private val timers: TimerService,
    private val log: DecisionLog,
) {
    private val groupRecords = fleet.groupRecords
    private val table = fleet.controlTable
    private var isWriting = false

    /** Called with the stored record when its order was sent. */
    var onSent: (GroupRecord) -> Unit = {}

    /** Called with the answer to an order, however late it is. */
    var onAnswer: (PromotionOrder, PromotionOutcome) -> Unit = { _, _ -> }

    /** True when the store has [record], or a later one of the same claim, as far as this host knows. */
    fun isStored(record: GroupRecord): Boolean {
        val known = groupRecords.record(group.id)
        return known?.fence == record.fence && known.position == groupRecords.rowPosition(group.id)
    }

    /** Takes the next step to store and send the order of [now]. Called at a short interval until [onSent]. */
    fun proceed(now: TakeoverPhase.Ordering, nowMillis: Long) {
        if (isWriting || nowMillis < now.notBeforeMillis) return
        if (!isStored(now.record)) return fleet.refresh()
        val known = checkNotNull(groupRecords.record(group.id))
        if (known.order == now.order) {
            if (nowMillis - groupRecords.provedAtMillis >
                MAX_PROOF_MILLIS
            ) {
                fleet.refresh()
            } else {
                send(now, known, nowMillis)
            }
        } else {
            store(now, nowMillis)
        }
    }

    private fun store(now: TakeoverPhase.Ordering, nowMillis: Long) {
        val expected = groupRecords.rowPosition(group.id)
        val record = now.record.copy(position = expected, order = now.order)
        now.notBeforeMillis = nowMillis + RETRY_MILLIS
        isWriting = true
        table.writeRecord(record, expected.version).doFinally { isWriting = false }.subscribe(
            log.guarded("takeover") { onStored(now, it, record, sentAtMillis = nowMillis) },
            { failure -> log.event("takeover", "order_not_stored", "reason", failure.message) },
        )
    }

    private fun onStored(now: TakeoverPhase.Ordering, outcome: StoreWrite, record: GroupRecord, sentAtMillis: Long) {
        if (outcome !is StoreWrite.Applied || outcome.position.epoch != record.position.epoch) {
            log.event("takeover", "order_not_stored", "group", group.id.value, "outcome", outcome)
            return fleet.refresh()
        }
        val stored = record.copy(position = outcome.position)
        val isNewest = groupRecords.record(group.id)?.let(stored::isNewerThan) ?: true
        groupRecords.learn(listOf(stored), GroupRecords.NEVER)
        val nowMillis = timers.nowMillis()
        if (isNewest && nowMillis - sentAtMillis <= MAX_PROOF_MILLIS) send(now, stored, nowMillis) else fleet.refresh()
    }

    private fun send(now: TakeoverPhase.Ordering, record: GroupRecord, nowMillis: Long) {
        val order = checkNotNull(record.order)
        log.event(
            "takeover", "promote", "group", group.id.value, "target", order.target.value, "fence", order.fence,
            "attempt", order.attempt, "open", order.openCount, "received", now.received,
        )
        orders.observe(record, nowMillis)
        onSent(record)
        promotion.promote(group.id, order.target, record.holder, order.fence).subscribe(
            log.guarded("takeover") { outcome -> onAnswer(order, outcome) },
            { failure -> log.event("takeover", "promote_unanswered", "reason", failure.message) },
        )
    }

    companion object {
        /**
         * With proof older than this the store is read before a promotion is ordered. Below
         * [GroupRecords.MAX_AGE_MILLIS], which suffices for a claim, and below the time after which another host claims
         * the record.
         */
        const val MAX_PROOF_MILLIS = 700L

        /** The least time between two attempts to store an order. */
        private const val RETRY_MILLIS = 200L
    }
}
