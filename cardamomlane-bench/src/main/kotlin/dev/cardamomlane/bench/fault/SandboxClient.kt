package dev.cardamomlane.bench.fault

import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.Endpoints
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/**
 * Calls the admin endpoints of the stand-in and of the daemons.
 *
 * Calls block. They throw [IOException] if there is no answer in time or one with a status other than 200.
 */
internal class SandboxClient(private val endpoints: Endpoints) {
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    /** By database, the names of its targets in the order in which the stand-in lists them. */
    fun targetsByDatabase(): Map<String, List<String>> {
        val state = parseObject(get("http://${endpoints.standinAdmin}/state"))
        return targetObjects(state)
            .groupBy({ it.getValue("database").jsonPrimitive.content }, { it.getValue("name").jsonPrimitive.content })
    }

    /** The primary of [database] at the highest term that a daemon reports, or null when none reports a primary. */
    fun primaryOf(database: String): String? = endpoints.daemons
        .mapNotNull { groupAt(it, database) }
        .maxByOrNull { it.getValue("term").jsonPrimitive.content.toLong() }
        ?.get("primary")
        ?.jsonPrimitive
        ?.content

    /** The address of [target], or null when the stand-in does not report it. */
    fun addressOf(target: String): String? {
        val state = parseObject(get("http://${endpoints.standinAdmin}/state"))
        val found = targetObjects(state).firstOrNull { it.getValue("name").jsonPrimitive.content == target }
        return found?.get("address")?.jsonPrimitive?.content
    }

    /** The revision that [daemon] has in force, or null when it does not answer or has none. */
    fun revisionOf(daemon: DaemonEndpoint): Long? = try {
        parseObject(get("http://${daemon.admin}/status"))["revision"]?.jsonPrimitive?.longOrNull
    } catch (_: IOException) {
        null
    }

    /** Posts to [path] of the stand-in's admin endpoint and returns the body of the answer. */
    fun post(path: String): String {
        val request = HttpRequest.newBuilder(URI("http://${endpoints.standinAdmin}$path"))
        val body = HttpRequest.BodyPublishers.noBody()
        return send(request.POST(body))
    }

    private fun groupAt(daemon: DaemonEndpoint, database: String): JsonObject? = try {
        val status = parseObject(get("http://${daemon.admin}/status"))
        (status["groups"] as? JsonArray)
            ?.map { it.jsonObject }
            ?.firstOrNull { it.getValue("database").jsonPrimitive.content == database }
    } catch (_: IOException) {
        null
    }

    private fun get(url: String): String = send(HttpRequest.newBuilder(URI(url)).GET())

    private fun send(request: HttpRequest.Builder): String {
        val timed = request.timeout(Duration.ofSeconds(3)).build()
        val response = http.send(timed, HttpResponse.BodyHandlers.ofString())
        if (response.statusCode() != 200) throw IOException("${timed.uri()} answered ${response.statusCode()}")
        return response.body()
    }

    private fun parseObject(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject

    private fun targetObjects(state: JsonObject): List<JsonObject> =
        state.getValue("targets").jsonArray.map { it.jsonObject }
}
