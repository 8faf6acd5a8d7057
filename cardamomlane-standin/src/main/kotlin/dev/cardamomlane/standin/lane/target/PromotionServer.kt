package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.standin.lane.wire.PlatformWords
import dev.cardamomlane.standin.settings.SocketAddress
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.resources.LoopResources

/**
 * The HTTP server of the platform's promote call. It doesn't check the fence.
 *
 * @param onArrived called with each order when it arrives
 * @param onPerformed called with each order and its result, before its answer
 */
internal class PromotionServer(
    val address: SocketAddress,
    private val groups: List<TargetGroup>,
    private val faults: PromotionFaults,
    private val timers: TimerService,
    private val loops: LoopResources,
    private val onArrived: (PromotionOrder) -> Unit = {},
    private val onPerformed: (PromotionOrder, PromotionResult) -> Unit = { _, _ -> },
) : AutoCloseable {
    private lateinit var server: DisposableServer

    /** Blocks until the address accepts connections. */
    fun start() {
        server = HttpServer.create().runOn(loops, false)
            .host(address.host).port(address.port)
            .route { routes -> routes.post(PlatformWords.PROMOTE_PATH, ::serve) }
            .bindNow()
    }

    override fun close() {
        server.disposeNow()
    }

    private fun serve(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> =
        request.receive().aggregate().asString().defaultIfEmpty("").flatMap { body ->
            val order = parse(request, body)
            when {
                order == null -> send(response, BAD_REQUEST)
                faults.isDown -> send(response, UNAVAILABLE)
                else -> {
                    onArrived(order)
                    val status = Sinks.one<Int>()
                    val isAnswerLost = faults.losesAnswers
                    // A caller that goes away does not cancel its order.
                    timers.after(faults.slowMillis) { status.tryEmitValue(perform(order)) }
                    status.asMono().flatMap { if (isAnswerLost) Mono.never() else send(response, it) }
                }
            }
        }

    private fun perform(order: PromotionOrder): Int {
        val result = groups.find { it.settings.name == order.group }?.promote(order.target)
            ?: PromotionResult.NOT_RUNNING
        onPerformed(order, result)
        return if (result == PromotionResult.ACCEPTED) OK else CONFLICT
    }

    private fun parse(request: HttpServerRequest, body: String): PromotionOrder? = try {
        val fields = Json.parseToJsonElement(body).jsonObject
        val headers = request.requestHeaders()
        PromotionOrder(
            group = fields.getValue(PlatformWords.GROUP).jsonPrimitive.content,
            target = fields.getValue("id").jsonPrimitive.content,
            holder = headers[PlatformWords.HOLDER_HEADER].orEmpty(),
            fence = headers[PlatformWords.FENCE_HEADER].toLong(),
        )
    } catch (e: SerializationException) {
        unreadable(e)
    } catch (e: IllegalArgumentException) {
        unreadable(e)
    } catch (e: NoSuchElementException) {
        unreadable(e)
    }

    private fun unreadable(e: RuntimeException): PromotionOrder? {
        Logger.warn("promote: order can't be read: {}", e.message)
        return null
    }

    private fun send(response: HttpServerResponse, status: Int): Mono<Void> =
        response.status(status).header("Content-Length", "0").send()

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val UNAVAILABLE = 503
    }
}
