package dev.cardamomlane.cli

import dev.cardamomlane.store.ListedHost
import kotlinx.serialization.json.Json
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.http.client.HttpClient
import reactor.netty.resources.ConnectionProvider
import java.time.Duration

/** Reads the status of hosts from their admin endpoints. */
internal class StatusClient {
    private val client = HttpClient.create(ConnectionProvider.newConnection())

    /** Asks [hosts] concurrently and blocks until each has answered, failed or timed out. Keeps the order. */
    fun fetchAll(hosts: List<ListedHost>): List<HostStatus> =
        Flux.fromIterable(hosts).flatMapSequential(::fetch).collectList().block().orEmpty()

    private fun fetch(listed: ListedHost): Mono<HostStatus> = client.get()
        .uri("http://${listed.adminAddress}/status")
        .responseContent()
        .aggregate()
        .asString()
        .map { json.decodeFromString<StatusReport>(it) }
        .timeout(TIMEOUT)
        .map { HostStatus(listed, it) }
        .onErrorReturn(HostStatus(listed, report = null))
        .defaultIfEmpty(HostStatus(listed, report = null))

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
        val json = Json { ignoreUnknownKeys = true }
    }
}
