package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.standin.lane.time.delay
import dev.cardamomlane.standin.lane.wire.PlatformWords
import dev.cardamomlane.standin.settings.SocketAddress
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.resources.LoopResources

/**
 * The HTTP server of the platform's store. It applies the [faults] to each call and serves the rest with [StoreCalls].
 *
 * All calls are handled on the loop of [loops], which also owns [store].
 */
internal class StoreServer(
    val address: SocketAddress,
    private val store: RowStore,
    private val faults: StoreFaults,
    private val timers: TimerService,
    private val loops: LoopResources,
    transactionMillis: Long = 5,
) : AutoCloseable {
    private val calls = StoreCalls(store, timers, PartQueues(timers, transactionMillis))
    private lateinit var server: DisposableServer

    /** Blocks until the address accepts connections. */
    fun start() {
        server = HttpServer.create().runOn(loops, false)
            .host(address.host).port(address.port)
            .route { routes ->
                routes.post(PlatformWords.TRANSACTION_PATH, ::serveTransaction)
                routes.get(PlatformWords.RANGE_PATH) { request, response -> serveRead(request, response, ::range) }
                routes.get(PlatformWords.PARTS_PATH) { request, response -> serveRead(request, response, ::parts) }
                routes.get(PlatformWords.FEED_PATH) { request, response -> serveRead(request, response, ::feed) }
            }
            .bindNow()
    }

    override fun close() {
        server.disposeNow()
    }

    private fun serveTransaction(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> =
        request.receive().aggregate().asString().defaultIfEmpty("").flatMap { body ->
            val transaction = parse(body) ?: return@flatMap send(response, calls.answer(StoreAnswer.BAD_REQUEST))
            val outcome = Sinks.one<StoreAnswer>()
            // A caller that goes away does not cancel its call.
            timers.after(faults.slowMillis) { perform(transaction, outcome) }
            outcome.asMono().flatMap { finish(response, it).thenReturn(true) }
                .switchIfEmpty(Mono.defer { loseAnswer(response).thenReturn(true) })
                .then()
        }

    /** Emits the answer to [outcome], nothing if the connection must be closed instead, or never ends. */
    private fun perform(transaction: RowTransaction, outcome: Sinks.One<StoreAnswer>) {
        when (faults.outage) {
            null -> write(transaction, outcome)
            StoreOutage.REFUSE -> outcome.tryEmitValue(calls.answer(StoreAnswer.UNAVAILABLE))
            StoreOutage.SILENT -> Unit
            StoreOutage.CLOSE -> outcome.tryEmitEmpty()
        }
    }

    private fun write(transaction: RowTransaction, outcome: Sinks.One<StoreAnswer>) {
        val lateMillis = faults.consumeLateWrite()
        if (lateMillis != null) {
            Logger.info("store: performs a write {} ms late, without an answer, as injected", lateMillis)
            timers.after(lateMillis) { store.apply(transaction) }
            return
        }
        calls.transact(transaction).subscribe { answer ->
            if (faults.consumeLostAnswer()) outcome.tryEmitEmpty() else outcome.tryEmitValue(answer)
        }
    }

    private fun parse(body: String): RowTransaction? = try {
        json.decodeFromString(RowTransaction.serializer(), body)
    } catch (e: SerializationException) {
        Logger.warn("store: transaction can't be read: {}", e.message)
        null
    }

    private fun serveRead(
        request: HttpServerRequest,
        response: HttpServerResponse,
        read: (CallQuery) -> Mono<StoreAnswer>,
    ): Mono<Void> {
        val query = CallQuery(QueryStringDecoder(request.uri()).parameters())
        return enter(response) { read(query).flatMap { finish(response, it) } }
    }

    private fun range(query: CallQuery): Mono<StoreAnswer> = Mono.just(
        calls.range(
            table = query.text("table"),
            part = query.text("part"),
            from = query.text("from"),
            to = query.textOrNull("to"),
            limit = query.number("limit", default = StoreCalls.MAX_ROWS.toLong()).toInt(),
        ),
    )

    private fun parts(query: CallQuery): Mono<StoreAnswer> =
        Mono.just(calls.parts(query.text("table"), query.text("after")))

    private fun feed(query: CallQuery): Mono<StoreAnswer> = calls.feed(
        table = query.text("table"),
        after = query.number("after", default = 0),
        waitMillis = query.number(PlatformWords.WAIT_MILLIS, default = 0),
    )

    /** Calls [serve] after the delay of a slow store, unless an outage prevents it. */
    private fun enter(response: HttpServerResponse, serve: () -> Mono<Void>): Mono<Void> =
        timers.delay(faults.slowMillis).then(
            Mono.defer {
                when (faults.outage) {
                    null -> serve()
                    StoreOutage.REFUSE -> send(response, calls.answer(StoreAnswer.UNAVAILABLE))
                    StoreOutage.SILENT -> Mono.never()
                    StoreOutage.CLOSE -> loseAnswer(response)
                }
            },
        )

    /** Sends [answer], unless an outage has begun since the call was received. */
    private fun finish(response: HttpServerResponse, answer: StoreAnswer): Mono<Void> =
        if (faults.outage == null || answer.status == StoreAnswer.UNAVAILABLE) {
            send(response, answer)
        } else {
            loseAnswer(response)
        }

    private fun loseAnswer(response: HttpServerResponse): Mono<Void> {
        response.withConnection { it.dispose() }
        return Mono.empty()
    }

    private fun send(response: HttpServerResponse, answer: StoreAnswer): Mono<Void> {
        val body = Unpooled.wrappedBuffer(json.encodeToString(StoreAnswer.Body.serializer(), answer.body).toByteArray())
        return response.status(answer.status)
            .header("Content-Type", "application/json")
            .header("Content-Length", body.readableBytes().toString())
            .header(PlatformWords.EPOCH_HEADER, store.epoch.toString())
            .sendObject(body).then()
    }

    private companion object {
        val json = Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }
    }
}
