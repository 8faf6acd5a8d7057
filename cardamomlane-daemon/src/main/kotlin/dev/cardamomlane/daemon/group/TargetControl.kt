package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetStatus
import reactor.core.publisher.Mono

/**
 * The operations on one target that the failover of a group needs.
 *
 * Nothing is sent before subscription. Every operation is idempotent, and may have taken effect although its result
 * failed. No operation waits behind the statements of callers. There is no timeout here: the caller sets its own.
 * Cancelling a subscription gives up the answer, while the operation may still take effect.
 */
public interface TargetControl {
    public val target: TargetId

    /**
     * Reads the status. With [newConnection] a connection is opened for the query, which distinguishes a silent
     * connection from a silent target. If it answers, later operations use it.
     */
    public fun status(newConnection: Boolean): Mono<TargetStatus>

    /**
     * Makes the target refuse writes and replication of terms below [term]. Not granted if another claimant was granted
     * [term].
     */
    public fun fence(term: Long, claimant: String): Mono<FenceAnswer>

    /** Makes the target the primary of [term]; granted only if [claimant] has fenced it at exactly that term. */
    public fun promote(term: Long, claimant: String): Mono<Boolean>

    /** Makes the target a replica of [primary], the primary of [term], unless it is fenced beyond that term. */
    public fun follow(term: Long, primary: TargetId): Mono<Boolean>

    /** Closes the connections that this object opened. */
    public fun close()
}
