package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetStatus
import dev.cardamomlane.wire.OpenRequest
import dev.cardamomlane.wire.SessionOpener
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler

/**
 * A [TargetControl] that calls the target's control functions by SQL, over its own control connections.
 *
 * It keeps one connection open. When a query asks for a new connection and gets an answer on it, that connection
 * replaces the kept one, which is closed.
 *
 * To be used on the event loop of the connections only, to which [scheduler] belongs.
 */
internal class SqlTargetControl(
    override val target: TargetId,
    private val opener: SessionOpener,
    private val request: OpenRequest,
    private val scheduler: Scheduler,
) : TargetControl {
    private var kept: ControlConnection? = null
    private var opening: Mono<ControlConnection>? = null

    override fun status(newConnection: Boolean): Mono<TargetStatus> =
        query("SELECT * FROM cardamomlane_status()", newConnection).map { ControlFunctionResults.status(it) }

    override fun fence(term: Long, claimant: String): Mono<FenceAnswer> =
        query("SELECT * FROM cardamomlane_fence($term, '${quoted(claimant)}')")
            .map { FenceAnswer(ControlFunctionResults.granted(it), ControlFunctionResults.status(it, first = 1)) }

    override fun promote(term: Long, claimant: String): Mono<Boolean> =
        query("SELECT * FROM cardamomlane_promote($term, '${quoted(claimant)}')").map(ControlFunctionResults::granted)

    override fun follow(term: Long, primary: TargetId): Mono<Boolean> = query(
        "SELECT * FROM cardamomlane_follow($term, '${quoted(primary.value)}')",
    ).map(ControlFunctionResults::granted)

    override fun close() {
        kept?.close()
        kept = null
    }

    private fun query(sql: String, newConnection: Boolean = false): Mono<TextRow> = Mono.defer {
        if (newConnection) queryOnNewConnection(sql) else connection().flatMap { it.query(sql) }
    }

    private fun queryOnNewConnection(sql: String): Mono<TextRow> = open().flatMap { connection ->
        connection.query(sql)
            .doOnNext { keep(connection) }
            .doOnError { connection.close() }
            .doOnCancel { connection.close() }
    }

    private fun connection(): Mono<ControlConnection> {
        kept?.takeIf { it.isOpen }?.let { return Mono.just(it) }
        return opening ?: openShared().also { opening = it }
    }

    /** Opens a connection. All queries that come until it is open share it. */
    private fun openShared(): Mono<ControlConnection> = open()
        .doOnNext { keep(it) }
        .doFinally { opening = null }
        .share()

    private fun open(): Mono<ControlConnection> =
        opener.open(request).publishOn(scheduler).map { ControlConnection(it) }

    private fun keep(connection: ControlConnection) {
        val old = kept
        kept = connection
        if (old !== connection) old?.close()
    }

    private fun quoted(text: String): String = text.replace("'", "''")
}
