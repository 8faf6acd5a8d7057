package dev.cardamomlane.standin.admin

import dev.cardamomlane.standin.platform.PlatformServer
import dev.cardamomlane.standin.session.TargetServer
import dev.cardamomlane.standin.settings.HostSettings
import dev.cardamomlane.standin.settings.SocketAddress
import dev.cardamomlane.standin.settings.answerJson
import kotlinx.serialization.KSerializer
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.core.scheduler.Scheduler
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse

/**
 * The HTTP endpoint that reports the state of the stand-in and injects faults.
 *
 * The calls are listed in docs/operators/standin.md.
 *
 * @param scheduler runs the calls, which may block
 */
internal class AdminServer(
    private val configuredAddress: SocketAddress,
    private val targets: List<TargetServer>,
    private val platform: PlatformServer,
    private val scheduler: Scheduler,
) : AutoCloseable {
    private lateinit var server: DisposableServer

    val address: SocketAddress get() = configuredAddress.copy(port = server.port())

    fun start() {
        server = HttpServer.create().host(configuredAddress.host).port(configuredAddress.port)
            .route { routes ->
                routes.get("/state") { _, response -> run(response, StandinView.serializer(), ::state) }
                routes.post("/targets/{name}/{action}", ::changeTarget)
                routes.post("/platform/{action}", ::changePlatform)
                routes.post("/hosts/{name}/{action}", ::changeHost)
            }
            .bindNow()
    }

    override fun close() {
        server.disposeNow()
    }

    private fun state(): StandinView =
        StandinView(targets.map(TargetView::of), PlatformView.of(platform), platform.hosts.list())

    private fun changeTarget(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> =
        run(response, TargetView.serializer()) {
            val call = AdminCall(request.uri())
            val (_, name, action) = call.parts
            val server = requireNotNull(targets.find { it.target.name == name }) { "no target is called \"$name\"" }
            apply(server, action, call)
            Logger.info("admin: {}", request.uri())
            TargetView.of(server)
        }

    private fun apply(server: TargetServer, action: String, call: AdminCall) {
        val target = server.target
        val faults = target.faults
        when (action) {
            "cut" -> {
                if (call.flag("callers", default = true)) faults.partitionCallers()
                if (call.flag("peers", default = true)) faults.partitionedFromPeers = true
            }
            "heal" -> heal(server)
            "lag" -> faults.lagMillis = call.number("millis")
            "silence" -> target.sessions.toList().forEach { it.silence() }
            "lose-answers" -> faults.loseAnswers(call.number("count").toInt())
            "slow" -> faults.slowMillis = call.number("millis")
            "crash" -> server.crash()
            "restart" -> server.restart()
            "leaving" -> target.setLeaving(call.flag("value", default = true))
            else -> throw IllegalArgumentException("unknown action \"$action\"")
        }
        target.group.wakeReplicas()
    }

    /** Ends all faults of the target and restores its configured lag. Restarts it if it is crashed. */
    private fun heal(server: TargetServer) {
        val faults = server.target.faults
        faults.healCallers()
        faults.partitionedFromPeers = false
        faults.slowMillis = 0
        faults.loseAnswers(0)
        faults.lagMillis = server.target.group.settings.lagMillis
        if (faults.crashed) server.restart()
    }

    private fun changePlatform(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> =
        run(response, PlatformView.serializer()) {
            val call = AdminCall(request.uri())
            val faults = platform.faults
            when (val action = call.parts.last()) {
                "outage" -> faults.startOutage(call.optionalNumber("millis"))
                "slow" -> faults.slowMillis = call.number("millis")
                "lose-answers" -> faults.loseAnswers(call.number("count").toInt())
                "heal" -> faults.heal()
                else -> throw IllegalArgumentException("unknown action \"$action\"")
            }
            Logger.info("admin: {}", request.uri())
            PlatformView.of(platform)
        }

    private fun changeHost(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> =
        run(response, StandinView.serializer()) {
            val call = AdminCall(request.uri())
            val (_, name, action) = call.parts
            val found = when (action) {
                "leaving" -> platform.hosts.setState(name, "LEAVING")
                "live" -> platform.hosts.setState(name, "LIVE")
                "gone" -> platform.hosts.remove(name)
                "add" -> addHost(name, call)
                else -> throw IllegalArgumentException("unknown action \"$action\"")
            }
            require(found) { "no host is called \"$name\"" }
            Logger.info("admin: {}", request.uri())
            state()
        }

    private fun addHost(name: String, call: AdminCall): Boolean {
        val zone = call.text("availabilityZone")
        platform.hosts.add(HostSettings(name, zone, call.text("peerAddress"), call.text("adminAddress")))
        return true
    }

    private fun <T> run(response: HttpServerResponse, serializer: KSerializer<T>, action: () -> T): Mono<Void> =
        Mono.fromCallable { answerJson.encodeToString(serializer, action()) }
            .subscribeOn(scheduler)
            .onErrorResume(IllegalArgumentException::class.java) { error ->
                response.status(BAD_REQUEST)
                Mono.just(answerJson.encodeToString(AdminError.serializer(), AdminError(error.message.orEmpty())))
            }
            .flatMap { body -> response.header("Content-Type", "application/json").sendString(Mono.just(body)).then() }

    private companion object {
        const val BAD_REQUEST = 400
    }
}
