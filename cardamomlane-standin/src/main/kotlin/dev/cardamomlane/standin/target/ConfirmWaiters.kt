package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import java.util.concurrent.CompletableFuture

/** Questions for confirmation that wait for replicas. Not safe for use by several threads. */
internal class ConfirmWaiters {
    private val waiting = ArrayList<Waiter>()

    fun add(position: LogPosition): CompletableFuture<Confirmation> {
        val waiter = Waiter(position)
        waiting += waiter
        return waiter.answer
    }

    /** Takes out the questions that [isHeld] settles. Run the result after the lock is released. */
    fun confirm(isHeld: (LogPosition) -> Boolean): () -> Unit = settle(confirmed = true) { isHeld(it.position) }

    /** Takes out all questions as not confirmed. Run the result after the lock is released. */
    fun refuseAll(): () -> Unit = settle(confirmed = false) { true }

    /** Forgets a question whose asker has given up. */
    fun forget(answer: CompletableFuture<Confirmation>) {
        waiting.removeAll { it.answer === answer }
    }

    private fun settle(confirmed: Boolean, select: (Waiter) -> Boolean): () -> Unit {
        if (waiting.isEmpty()) return {}
        val settled = waiting.filter(select)
        waiting.removeAll(settled.toSet())
        return { settled.forEach { it.answer.complete(Confirmation(it.position, confirmed)) } }
    }

    private class Waiter(val position: LogPosition) {
        val answer = CompletableFuture<Confirmation>()
    }
}
