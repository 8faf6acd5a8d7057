package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.TargetId
import reactor.core.publisher.Mono

/** Asks about and cancels what runs on a connection of a target, over another connection to the same target. */
internal interface TargetProbe {
    /**
     * Asks the target over a new connection whether it is running a statement on the connection with [processId].
     *
     * Never fails: emits [ConnectionState.UNREACHABLE] when no answer comes in time.
     */
    fun check(target: TargetId, processId: Int): Mono<ConnectionState>

    /** Asks the target to cancel what runs on a connection. Returns at once; a failure is logged. */
    fun cancel(target: TargetId, processId: Int, secretKey: Int)
}
