package dev.cardamomlane.store

import arrow.core.getOrElse
import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.codec.UntrustedJson
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import reactor.core.publisher.Mono
import reactor.netty.http.client.HttpClient
import reactor.netty.resources.ConnectionProvider
import java.net.URI
import java.time.Duration

/**
 * A [HostList] that is read from a URL as a JSON array. A host without a state counts as live. An entry that is no host
 * is left out and logged; if no entry is a host, the request fails.
 *
 * Each request opens a new connection, so that a connection that no longer carries answers is never reused.
 *
 * @param timeoutMillis the timeout of one request, including the time to connect
 */
public class HttpHostList(
    private val url: URI,
    private val timeoutMillis: Long = DynamoSettings.DEFAULT_TIMEOUT_MILLIS,
) : HostList {
    private val log = RateLimitedLog()
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

    private fun parse(text: String): ImmutableList<ListedHost> {
        val entries = json.parse(text).getOrElse {
            throw PlatformUnavailableException("no list of hosts: ${it.reason}")
        }
        if (entries !is JsonArray) throw PlatformUnavailableException("the response is not a list of hosts")
        val hosts = entries.mapNotNull(::entry)
        if (hosts.isEmpty() &&
            entries.isNotEmpty()
        ) {
            throw PlatformUnavailableException("no entry of the response is a host")
        }
        return hosts.toImmutableList()
    }

    private fun entry(entry: JsonElement): ListedHost? = try {
        listed(decoder.decodeFromJsonElement(HostJson.serializer(), entry))
    } catch (failure: IllegalArgumentException) {
        // What kotlinx.serialization throws is an IllegalArgumentException, too. Its message quotes the entry.
        log.warn("host list $url: an entry is left out", failure.message.orEmpty())
        null
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
        val decoder = Json { ignoreUnknownKeys = true }
        val json = UntrustedJson(decoder)
    }
}
