package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import java.util.concurrent.CompletableFuture

/**
 * Requests for confirmation that wait until a majority of the group holds the log up to a position.
 *
 * Not safe for use by several threads; the group's lock guards it. [confirm] and [failAll] return a function that
 * completes the removed requests. Call it after the lock is released, because it runs the callbacks of the requesters.
 */
internal class PendingConfirmations {
    private val waiting = ArrayList<Waiter>()

    /** Adds a request for [position]. The future completes when a majority holds it or the request fails. */
    fun add(position: LogPosition): CompletableFuture<Confirmation> {
        val waiter = Waiter(position)
        waiting += waiter
        return waiter.answer
    }

    /** Removes the requests whose position satisfies [isHeld] and returns a function that confirms them. */
    fun confirm(isHeld: (LogPosition) -> Boolean): () -> Unit = completeWhere(confirmed = true) { isHeld(it.position) }

    /** Removes all requests and returns a function that completes them as not confirmed. */
    fun failAll(): () -> Unit = completeWhere(confirmed = false) { true }

    /** Removes a request whose caller no longer waits. */
    fun remove(answer: CompletableFuture<Confirmation>) {
        waiting.removeAll { it.answer === answer }
    }

    private fun completeWhere(confirmed: Boolean, select: (Waiter) -> Boolean): () -> Unit {
        if (waiting.isEmpty()) return {}
        val selected = waiting.filter(select)
        waiting.removeAll(selected.toSet())
        return { selected.forEach { it.answer.complete(Confirmation(it.position, confirmed)) } }
    }

    private class Waiter(val position: LogPosition) {
        val answer = CompletableFuture<Confirmation>()
    }
}
