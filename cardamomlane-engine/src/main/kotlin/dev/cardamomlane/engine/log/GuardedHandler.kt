package dev.cardamomlane.engine.log

/**
 * Returns [handler] as one that logs what it throws instead, errors of the JVM included.
 *
 * Reactor takes such an error as fatal and skips every later step of the sequence, also the one that would end the call
 * under way. So a handler of a result that a loop waits for is guarded.
 *
 * @param part the part of the log
 */
internal fun <T> DecisionLog.guarded(part: String, handler: (T) -> Unit): (T) -> Unit = { value ->
    try {
        handler(value)
    } catch (failure: Throwable) {
        event(part, "handler_failed", "reason", "$failure", "at", failure.stackTrace.firstOrNull())
    }
}
