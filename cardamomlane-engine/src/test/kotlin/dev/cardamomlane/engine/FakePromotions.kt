package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.PromotionOutcome
import reactor.core.publisher.Mono

/** The platform's call that promotes a target, in memory. It does not check fences. */
class FakePromotions(private val timers: TimerService, private val targets: FakeTargets) {
    /** The orders that were sent, in order. */
    val sent = ArrayList<Order>()

    /** Decides what becomes of the next order. */
    var nextFate: () -> Fate = { Fate() }

    /** Called with each order that was sent, before it arrives. */
    var onSent: (Order) -> Unit = {}

    /** Called with each order that was carried out, before its answer. */
    var onPerformed: (Order) -> Unit = {}

    /** Called with each target that has become primary, and the order by which it did. */
    var onPromoted: (FakeTarget, Order) -> Unit = { _, _ -> }

    private var newestTerm = 1L
    private var newest: FakeTarget? = null

    /** Orders the promotion of [target]. Without an answer the call never completes. */
    fun call(target: String, holder: String, fence: Long): Mono<PromotionOutcome> = Mono.create { sink ->
        val order = Order(target, holder, fence)
        val fate = nextFate()
        sent += order
        onSent(order)
        when {
            fate.isLost -> Unit
            fate.performedInMillis == 0L -> sink.success(perform(order))
            else -> timers.after(fate.performedInMillis) {
                val outcome = perform(order)
                if (!fate.isAnswerLost) sink.success(outcome)
            }
        }
    }

    private fun perform(order: Order): PromotionOutcome {
        val target = targets.target(order.target)
        if (target.isDown) return PromotionOutcome.NOT_RUNNING
        timers.after(PROMOTE_MILLIS) { becomePrimary(target, order) }
        onPerformed(order)
        return PromotionOutcome.ACCEPTED
    }

    private fun becomePrimary(target: FakeTarget, order: Order) {
        val isNewest = newest == null || target === newest
        if (target.isDown || (target.isPrimary && isNewest)) return
        newest = target
        target.isPrimary = true
        newestTerm++
        target.position = target.position.copy(term = newestTerm)
        onPromoted(target, order)
    }

    /** An order to promote [target] under [fence], sent by [holder]. */
    class Order(val target: String, val holder: String, val fence: Long)

    /** What becomes of one order: [isLost] when it never arrives. */
    class Fate(val isLost: Boolean = false, val performedInMillis: Long = 0, val isAnswerLost: Boolean = false)

    private companion object {
        const val PROMOTE_MILLIS = 300L
    }
}
