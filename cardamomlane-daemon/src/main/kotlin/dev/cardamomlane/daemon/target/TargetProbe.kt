package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.TargetId
import reactor.core.publisher.Mono

/** Acts on connections of a target from beside them. */
internal interface TargetProbe {
    /** Asks on a new connection what the target does on the one with [processId]. Never fails. */
    fun check(target: TargetId, processId: Int): Mono<ConnectionState>

    /** Asks the target to cancel what runs on a connection. Does not wait, and a failure is logged. */
    fun cancel(target: TargetId, processId: Int, secretKey: Int)
}
