package dev.cardamomlane.standin.lane.admin

import dev.cardamomlane.standin.admin.AdminCall
import dev.cardamomlane.standin.admin.AdminError
import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.settings.SocketAddress
import dev.cardamomlane.standin.settings.answerJson
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse

/**
 * The HTTP endpoint that reports the state of an installation and injects faults. It runs on the loop of the platform.
 *
 * Each call answers 200 with the state, or 400 with an error. The calls are listed in docs/operators/standin.md.
 */
internal class LaneAdminServer(val address: SocketAddress, private val installation: LaneInstallation) :
    AutoCloseable {
    private val actions = LaneActions(installation)
    private lateinit var server: DisposableServer

    /** Blocks until the address accepts connections. */
    fun start() {
        server = HttpServer.create().runOn(installation.platform.loopResources, false)
            .host(address.host).port(address.port)
            .route { routes ->
                routes.get("/state") { request, response -> serve(request, response) { _, _ -> } }
                routes.post("/targets/{name}/{action}") { request, response ->
                    serve(request, response) { call, _ -> actions.target(call.parts[1], call.parts[2], call) }
                }
                routes.post("/store/{action}") { request, response ->
                    serve(request, response) { call, _ -> actions.store(call.parts[1], call) }
                }
                routes.post("/promotion/{action}") { request, response ->
                    serve(request, response) { call, _ -> actions.promotion(call.parts[1], call) }
                }
                routes.post("/hosts/{name}/{action}") { request, response ->
                    serve(request, response) { call, _ -> actions.host(call.parts[1], call.parts[2]) }
                }
                routes.put("/customers/{name}/keys") { request, response ->
                    serve(request, response) { call, body -> actions.keys(call.parts[1], keys(body)) }
                }
                routes.put("/rows/{table}/{key}") { request, response ->
                    serve(request, response) { call, body -> actions.putRow(call.parts[1], call.parts[2], body) }
                }
                routes.delete("/rows/{table}/{key}") { request, response ->
                    serve(request, response) { call, _ -> actions.removeRow(call.parts[1], call.parts[2]) }
                }
            }
            .bindNow()
    }

    override fun close() {
        server.disposeNow()
    }

    private fun keys(body: ByteArray) = body.decodeToString().split('\n').map(String::trim).filter(String::isNotEmpty)

    private fun serve(
        request: HttpServerRequest,
        response: HttpServerResponse,
        action: (AdminCall, ByteArray) -> Unit,
    ): Mono<Void> = request.receive().aggregate().asByteArray().defaultIfEmpty(ByteArray(0))
        .map { body ->
            action(AdminCall(request.uri()), body)
            if (request.uri() != "/state") Logger.info("admin: {} {}", request.method(), request.uri())
            answerJson.encodeToString(LaneStateView.serializer(), LaneStateView.of(installation))
        }
        .onErrorResume(IllegalArgumentException::class.java) { error ->
            response.status(BAD_REQUEST)
            Mono.just(answerJson.encodeToString(AdminError.serializer(), AdminError(error.message.orEmpty())))
        }
        .flatMap { body -> response.header("Content-Type", "application/json").sendString(Mono.just(body)).then() }

    private companion object {
        const val BAD_REQUEST = 400
    }
}
