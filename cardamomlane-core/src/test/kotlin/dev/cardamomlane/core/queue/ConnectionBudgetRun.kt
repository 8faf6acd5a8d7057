package dev.cardamomlane.core.queue

import kotlin.test.assertTrue

/** Simulates a target for a budget with a fixed [share] and checks every action of the budget. */
internal class ConnectionBudgetRun(private val share: Int) {
    private val budget = EstimatingConnectionBudget(share)
    private val opening = LinkedHashSet<Long>()
    private val held = LinkedHashSet<Long>()
    private val open = HashSet<Long>()
    private val waiting = HashSet<Long>()
    private var nowMillis = 0L
    private var nextRequestId = 1L

    val waitingCount: Int
        get() = waiting.size

    fun step(choice: Int) {
        nowMillis += choice % 7
        when (choice % 5) {
            0, 1 -> request()
            2 -> opening.firstOrNull()?.let(::connect)
            3 -> held.firstOrNull()?.let(::release)
            else -> if (choice > 90) held.firstOrNull()?.let(::lose) else apply(budget.poll(nowMillis))
        }
    }

    fun serveAll() {
        repeat(1_000) {
            nowMillis += 100
            opening.toList().forEach(::connect)
            held.toList().forEach(::release)
            apply(budget.poll(nowMillis))
        }
    }

    private fun request() {
        waiting += nextRequestId
        apply(budget.request(nextRequestId++, nowMillis))
    }

    private fun connect(id: Long) {
        opening.remove(id)
        open.add(id)
        apply(budget.opened(id, nowMillis))
    }

    private fun release(id: Long) {
        held.remove(id)
        apply(budget.released(id, nowMillis))
    }

    private fun lose(id: Long) {
        held.remove(id)
        open.remove(id)
        apply(budget.lost(id, nowMillis))
    }

    private fun apply(actions: List<ConnectionAction>) {
        for (action in actions) {
            when (action) {
                is ConnectionAction.Open -> opening.add(action.connectionId)
                is ConnectionAction.Close -> {
                    assertTrue(action.connectionId !in held, "closed ${action.connectionId} while held")
                    open.remove(action.connectionId)
                }
                is ConnectionAction.Assign -> {
                    assertTrue(action.connectionId in open, "assigned ${action.connectionId}, which is not open")
                    assertTrue(held.add(action.connectionId), "assigned ${action.connectionId} while held")
                    assertTrue(waiting.remove(action.requestId), "request ${action.requestId} was not waiting")
                }
            }
        }
        assertTrue(opening.size + open.size <= share, "${opening.size} opening and ${open.size} open, share $share")
    }
}
