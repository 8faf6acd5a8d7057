package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetStatus
import reactor.core.publisher.Mono

/**
 * What the failover of a group needs of one target.
 *
 * Nothing is sent before subscription. Every operation may be repeated without further effect, and may have taken
 * effect although its result failed. No operation waits behind the statements of callers. A result that does not come
 * is the caller's to time out; cancelling its subscription gives up the answer, not the effect.
 */
public interface TargetControl {
    public val target: TargetId

    /**
     * Reads the status. With [newConnection] the question goes over a connection opened for it, which tells a silent
     * connection from a silent target; later operations use that connection if it answers.
     */
    public fun status(newConnection: Boolean): Mono<TargetStatus>

    /** Has the target refuse writes and replication of terms below [term], if no one else was granted [term]. */
    public fun fence(term: Long, claimant: String): Mono<FenceAnswer>

    /** Makes the target the primary of [term]; granted only if [claimant] has fenced it at exactly that term. */
    public fun promote(term: Long, claimant: String): Mono<Boolean>

    /** Makes the target a replica of [primary], the primary of [term], unless it is fenced beyond that term. */
    public fun follow(term: Long, primary: TargetId): Mono<Boolean>

    /** Closes the connections of this control. */
    public fun close()
}
