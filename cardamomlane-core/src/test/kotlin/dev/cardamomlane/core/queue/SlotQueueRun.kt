package dev.cardamomlane.core.queue

import dev.cardamomlane.core.CustomerId

/** Offers and finishes tickets as given numbers decide, and counts how each ticket ends. */
internal class SlotQueueRun(val queue: SlotQueue) {
    private val running = ArrayDeque<Long>()
    private var nowMillis = 0L

    var offered = 0
        private set
    var started = 0
        private set
    var refused = 0
        private set
    var expired = 0
        private set
    var displaced = 0
        private set

    fun step(choice: Int) {
        nowMillis += choice % 11
        if (choice % 3 == 0 && running.isNotEmpty()) finish() else offer(choice)
        record(queue.poll(nowMillis))
    }

    fun drain() {
        while (running.isNotEmpty()) finish()
    }

    private fun offer(choice: Int) {
        val ticket =
            QueueTicket(
                id = offered++.toLong(),
                customer = CustomerId("c${choice % 4}"),
                weight = 1 + choice % 2,
                priorityClass = 1 + choice % 9,
                deadlineMillis = nowMillis + 10 + choice,
            )
        when (val result = queue.offer(ticket, nowMillis)) {
            OfferResult.Run -> start(ticket)
            is OfferResult.Queued -> if (result.displaced != null) displaced++
            is OfferResult.Refused -> refused++
        }
    }

    private fun finish() {
        record(queue.finished(running.removeFirst(), serviceMillis = 10.0, nowMillis))
    }

    private fun record(dispatch: Dispatch) {
        dispatch.started.forEach(::start)
        expired += dispatch.expired.size
    }

    private fun start(ticket: QueueTicket) {
        started++
        running.addLast(ticket.id)
    }
}
