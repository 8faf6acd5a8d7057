package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import java.util.concurrent.CompletableFuture

/** Questions for confirmation that wait for replicas. Not safe for use by several threads. */
internal class PendingConfirmations {
    private val pending = ArrayList<Pending>()

    fun add(position: LogPosition): CompletableFuture<Confirmation> {
        val added = Pending(position)
        pending += added
        return added.result
    }

    /** Takes out the questions that [isHeld] settles. Run the result after the lock is released. */
    fun confirm(isHeld: (LogPosition) -> Boolean): () -> Unit = completeWhere(confirmed = true) { isHeld(it.position) }

    /** Takes out all questions as not confirmed. Run the result after the lock is released. */
    fun failAll(): () -> Unit = completeWhere(confirmed = false) { true }

    /** Forgets a question whose asker has given up. */
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
