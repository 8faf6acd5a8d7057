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
    private val pending = ArrayList<Pending>()

    /** Adds a request for [position]. The future completes when a majority holds it or the request fails. */
    fun add(position: LogPosition): CompletableFuture<Confirmation> {
        val added = Pending(position)
        pending += added
        return added.result
    }

    /** Removes the requests whose position satisfies [isHeld] and returns a function that confirms them. */
    fun confirm(isHeld: (LogPosition) -> Boolean): () -> Unit = completeWhere(confirmed = true) { isHeld(it.position) }

    /** Removes all requests and returns a function that completes them as not confirmed. */
    fun failAll(): () -> Unit = completeWhere(confirmed = false) { true }

    /** Removes a request whose caller no longer waits. */
    fun remove(result: CompletableFuture<Confirmation>) {
        pending.removeAll { it.result === result }
    }

    private fun completeWhere(confirmed: Boolean, select: (Pending) -> Boolean): () -> Unit {
        if (pending.isEmpty()) return {}
        val completed = pending.filter(select)
        pending.removeAll(completed.toSet())
        return { completed.forEach { it.result.complete(Confirmation(it.position, confirmed)) } }
    }

    private class Pending(val position: LogPosition) {
        val result = CompletableFuture<Confirmation>()
    }
}
