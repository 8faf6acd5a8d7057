package dev.cardamomlane.wire

import reactor.core.publisher.Mono
import java.net.InetSocketAddress

/** Opens sessions on PostgreSQL servers. */
public interface SessionOpener {
    /**
     * Opens a session. Cancelling the subscription closes a connection that is not open yet.
     *
     * The result fails with [SessionRefusedException] if the server refuses the session, and with an `IOException` or
     * a `TimeoutException` if it can't be reached in time.
     */
    public fun open(request: OpenRequest): Mono<OpenSession>

    /**
     * Asks the server at [address] to cancel the statement that runs in the session of [processId] and [secretKey].
     * Completes when the request is sent; the server does not answer it.
     */
    public fun cancel(address: InetSocketAddress, processId: Int, secretKey: Int): Mono<Void>
}
