package dev.cardamomlane.store

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import reactor.core.publisher.Mono
import reactor.netty.http.client.HttpClient
import reactor.netty.resources.ConnectionProvider
import java.net.URI
import java.time.Duration

/**
 * A [HostList] that is read from a URL as a JSON array. A host without a state counts as live.
 *
 * Each request opens a new connection, so that a connection that no longer carries answers is never reused.
 *
 * @param timeoutMillis the timeout of one request, including the time to connect
 */
public class HttpHostList(
    private val url: URI,
    private val timeoutMillis: Long = DynamoSettings.DEFAULT_TIMEOUT_MILLIS,
) : HostList {
    private val client = HttpClient.create(ConnectionProvider.newConnection())

    @Serializable
    private class HostJson(
        val host: String,
        val availabilityZone: String,
        val peerAddress: String,
        val adminAddress: String,
        val state: HostState = HostState.LIVE,
    )

    override fun hosts(): Mono<ImmutableList<ListedHost>> = client.get()
        .uri(url)
        .responseSingle { response, content ->
            val status = response.status().code()
            if (status == OK) content.asString() else Mono.error(PlatformUnavailableException("HTTP status $status"))
        }
        .switchIfEmpty(Mono.error { PlatformUnavailableException("the response is empty") })
        .timeout(Duration.ofMillis(timeoutMillis))
        .map(::parse)
        .onErrorMap { PlatformUnavailableException("host list $url: ${it.message}", it) }

    private fun parse(text: String): ImmutableList<ListedHost> = try {
        json.decodeFromString<List<HostJson>>(text).map(::listed).toImmutableList()
    } catch (e: SerializationException) {
        throw PlatformUnavailableException("the response is not a list of hosts", e)
    }

    private fun listed(host: HostJson) = ListedHost(
        host = HostId(host.host),
        availabilityZone = AvailabilityZone(host.availabilityZone),
        peerAddress = host.peerAddress,
        adminAddress = host.adminAddress,
        state = host.state,
    )

    private companion object {
        const val OK = 200
        val json = Json { ignoreUnknownKeys = true }
    }
}
