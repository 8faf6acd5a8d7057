package dev.cardamomlane.daemon.admin

import dev.cardamomlane.daemon.Readiness
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.resources.LoopResources
import java.net.InetSocketAddress

/**
 * The HTTP server for the load balancer and for operators.
 *
 * It answers `GET /live`, `GET /ready`, `GET /metrics`, `GET /status` and `POST /drain`.
 */
internal class AdminServer(
    private val address: InetSocketAddress,
    private val loops: LoopResources,
    private val registry: PrometheusMeterRegistry,
    private val readiness: () -> Readiness,
    private val status: () -> StatusReport,
    private val drain: () -> Unit,
) {
    /** Starts listening on [address]. The caller disposes of the result to stop the server. */
    fun bind(): Mono<out DisposableServer> = HttpServer.create()
        .runOn(loops)
        .bindAddress { address }
        .route { routes ->
            routes
                .get("/live") { _, response -> response.text("live\n") }
                .get("/ready") { _, response -> ready(response) }
                .get("/metrics") { _, response -> response.text(registry.scrape()) }
                .get("/status") { _, response ->
                    response.header("Content-Type", "application/json").text(Json.encodeToString(status()))
                }
                .post("/drain") { _, response ->
                    drain()
                    response.text("draining\n")
                }
        }
        .bind()

    private fun ready(response: HttpServerResponse) = when (val found = readiness()) {
        Readiness.Ready -> response.text("ready\n")
        is Readiness.NotReady ->
            response.status(HttpResponseStatus.SERVICE_UNAVAILABLE).text("not ready: ${found.reason}\n")
    }

    private fun HttpServerResponse.text(text: String) = sendString(Mono.just(text))
}
