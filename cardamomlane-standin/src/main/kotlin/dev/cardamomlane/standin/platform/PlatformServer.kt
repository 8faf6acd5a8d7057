package dev.cardamomlane.standin.platform

import dev.cardamomlane.standin.settings.HostSettings
import dev.cardamomlane.standin.settings.SocketAddress
import dev.cardamomlane.standin.settings.answerJson
import io.netty.buffer.Unpooled
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.time.Duration

/** The HTTP server of the emulated platform: the table at `POST /` and the host list at `GET /hosts`. */
internal class PlatformServer(
    private val configuredAddress: SocketAddress,
    val table: TableService,
    val hosts: HostListService,
    val faults: PlatformFaults,
) : AutoCloseable {
    private lateinit var server: DisposableServer

    val address: SocketAddress get() = configuredAddress.copy(port = server.port())

    fun start() {
        server = HttpServer.create().host(configuredAddress.host).port(configuredAddress.port)
            .route { routes ->
                routes.post("/", ::serveTable)
                routes.get("/hosts") { _, response -> serveHosts(response) }
            }
            .bindNow()
    }

    override fun close() {
        server.disposeNow()
    }

    private fun serveTable(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> {
        val operation = request.requestHeaders().get("X-Amz-Target", "").substringAfterLast('.')
        return request.receive().aggregate().asString().defaultIfEmpty("{}")
            .flatMap { body -> delay().then(Mono.defer { answer(operation, body, response) }) }
    }

    private fun answer(operation: String, body: String, response: HttpServerResponse): Mono<Void> {
        if (faults.isInOutage) return unavailable(response)
        val answer = runTable(operation, body)
        if (operation !in READS && faults.consumeLostAnswer()) return loseAnswer(response)
        return send(response.header("Content-Type", "application/x-amz-json-1.0"), answer)
    }

    private fun runTable(operation: String, body: String): Answer = try {
        Answer(OK, table.run(operation, Json.parseToJsonElement(body).jsonObject).toString())
    } catch (error: TableError) {
        Answer(BAD_REQUEST, error.toJson().toString())
    } catch (error: IllegalArgumentException) {
        Answer(BAD_REQUEST, TableError.validation("bad request: ${error.message}").toJson().toString())
    } catch (error: NoSuchElementException) {
        Answer(BAD_REQUEST, TableError.validation("bad request: ${error.message}").toJson().toString())
    }

    private fun serveHosts(response: HttpServerResponse): Mono<Void> = delay().then(
        Mono.defer {
            if (faults.isInOutage) return@defer unavailable(response)
            val list = answerJson.encodeToString(ListSerializer(HostSettings.serializer()), hosts.list())
            send(response.header("Content-Type", "application/json"), Answer(OK, list))
        },
    )

    private fun delay(): Mono<Void> {
        val millis = faults.slowMillis
        return if (millis == 0L) Mono.empty() else Mono.delay(Duration.ofMillis(millis)).then()
    }

    private fun unavailable(response: HttpServerResponse): Mono<Void> =
        send(response, Answer(UNAVAILABLE, """{"__type":"ServiceUnavailable","message":"the platform is down"}"""))

    private fun loseAnswer(response: HttpServerResponse): Mono<Void> {
        Logger.info("platform: drops an answer as injected")
        response.withConnection { it.dispose() }
        return Mono.empty()
    }

    private fun send(response: HttpServerResponse, answer: Answer): Mono<Void> {
        val body = Unpooled.wrappedBuffer(answer.body.toByteArray())
        return response.status(answer.status).header("Content-Length", body.readableBytes().toString())
            .sendObject(body).then()
    }

    private class Answer(val status: Int, val body: String)

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503

        /** Operations whose answers are never lost. */
        val READS = setOf("GetItem", "Query", "DescribeTable")
    }
}
