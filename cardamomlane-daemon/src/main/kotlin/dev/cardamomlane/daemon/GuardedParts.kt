package dev.cardamomlane.daemon

import dev.cardamomlane.store.RateLimitedLog

/**
 * Runs the parts of a task that comes back, such as a heartbeat, one by one. A part that fails is logged and does not
 * keep the later ones from their turn.
 */
internal class GuardedParts(private val log: RateLimitedLog = RateLimitedLog()) {
    /** Runs [action]. Whatever it throws, also an error of the virtual machine, is logged as a failure of [part]. */
    fun run(part: String, action: () -> Unit) {
        try {
            action()
        } catch (failure: Throwable) {
            log.error(part, failure)
        }
    }

    /** Runs [action] for each of [items]. */
    fun <T> runEach(part: String, items: Iterable<T>, action: (T) -> Unit) = items.forEach { run(part) { action(it) } }
}
