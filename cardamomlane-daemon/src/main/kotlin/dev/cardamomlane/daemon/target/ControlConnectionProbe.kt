package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.wire.FrontendWriter
import dev.cardamomlane.wire.OpenRequest
import dev.cardamomlane.wire.OpenSession
import dev.cardamomlane.wire.SessionOpener
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import java.time.Duration

/**
 * A [TargetProbe] that opens a control connection for each check and closes it afterwards.
 *
 * @param requests how to open a control connection to each target
 * @param timeoutMillis how long opening the connection and the answer may take together
 */
internal class ControlConnectionProbe(
    private val opener: SessionOpener,
    private val requests: Map<TargetId, OpenRequest>,
    private val timeoutMillis: Long = 1_000,
) : TargetProbe {
    override fun check(target: TargetId, processId: Int): Mono<ConnectionState> = opener.open(request(target))
        .flatMap { session -> queryActivity(session, processId).doFinally { session.link.close() } }
        .timeout(Duration.ofMillis(timeoutMillis))
        .onErrorReturn(ConnectionState.UNREACHABLE)

    override fun cancel(target: TargetId, processId: Int, secretKey: Int) {
        opener.cancel(request(target).address, processId, secretKey).subscribe(
            {},
            { cause -> Logger.info("target: Sending a cancel request to {} failed. {}", target, cause.message) },
        )
    }

    private fun request(target: TargetId): OpenRequest = checkNotNull(requests[target]) { "unknown target $target" }

    private fun queryActivity(session: OpenSession, processId: Int): Mono<ConnectionState> = Mono.create { sink ->
        var state = ConnectionState.IDLE
        val handler = InternalReplyHandler(
            onRow = { row -> if (row.text(0) == "active") state = ConnectionState.ACTIVE },
            onError = { state = ConnectionState.ACTIVE },
            onReady = { sink.success(state) },
            onLost = { sink.success(ConnectionState.UNREACHABLE) },
        )
        session.listen(ReplyHandlerAdapter(handler))
        val sql = "SELECT * FROM cardamomlane_activity($processId)"
        session.link.send(FrontendWriter.query(session.link.allocator.buffer(), sql))
    }
}
