package dev.cardamomlane.store

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import java.net.URI

/** Serves the part of the DynamoDB API that [DynamoPlatformTable] uses, backed by a [MemoryPlatformTable]. */
class FakeDynamoServer : AutoCloseable {
    val table = MemoryPlatformTable()

    /** How many of the next requests are never answered. */
    @Volatile
    var requestsToIgnore = 0

    /** While true, each request gets the answer to the one before. */
    @Volatile
    var isOneBehind = false

    @Volatile
    private var lastAnswer = Answer(200, buildJsonObject { })

    private val server =
        HttpServer.create().host("127.0.0.1").port(0).handle { request, response ->
            handle(request, response)
        }.bindNow()

    val endpoint: URI = URI("http://127.0.0.1:${server.port()}")

    private fun handle(request: HttpServerRequest, response: HttpServerResponse): Mono<Void> {
        if (requestsToIgnore > 0) {
            requestsToIgnore--
            return Mono.never()
        }
        val operation = request.requestHeaders()["X-Amz-Target"].substringAfter('.')
        return request.receive().aggregate().asString()
            .flatMap { answer(operation, Json.parseToJsonElement(it).jsonObject) }
            .onErrorResume { Mono.just(Answer(500, error("InternalServerError"))) }
            .map { answer -> if (isOneBehind) lastAnswer else answer.also { lastAnswer = it } }
            .flatMap { response.status(it.status).sendString(Mono.just(it.body.toString())).then() }
    }

    private class Answer(val status: Int, val body: JsonObject)

    private fun answer(operation: String, body: JsonObject): Mono<Answer> = when (operation) {
        "GetItem" -> table.get(keyOf(body.at("Key"))).map { row ->
            ok { put("Item", item(row)) }
        }.defaultIfEmpty(ok { })
        "Query" -> query(body)
        else -> write(body)
    }

    /** Answers with at most two rows a page. */
    private fun query(body: JsonObject): Mono<Answer> {
        val values = body.at("ExpressionAttributeValues")
        val prefix = values.at(":pk").text("S") + "/" + (values[":sk"]?.jsonObject?.text("S") ?: "")
        val after = body["ExclusiveStartKey"]?.jsonObject?.let(::keyOf).orEmpty()
        return table.scan(prefix).filter { it.key > after }.collectList().map { rows ->
            ok {
                putJsonArray("Items") { rows.take(2).forEach { add(item(it)) } }
                if (rows.size > 2) put("LastEvaluatedKey", key(rows[1].key))
            }
        }
    }

    private fun write(body: JsonObject): Mono<Answer> {
        val writes = body.getValue("TransactItems").jsonArray.map { writeOf(it.jsonObject) }
        return table.write(writes, body.text("ClientRequestToken")).map { outcome ->
            if (outcome is WriteOutcome.Conflict) Answer(400, canceled(writes, outcome)) else ok { }
        }
    }

    private fun writeOf(item: JsonObject): ConditionalWrite {
        val change = item.values.single().jsonObject
        val put = "Put" in item
        val attributes = change.at(if (put) "Item" else "Key")
        val condition = change.text("ConditionExpression")
        val expected =
            if (condition ==
                "attribute_not_exists(pk)"
            ) {
                0
            } else {
                change.at("ExpressionAttributeValues").at(":expected").text("N").toLong()
            }
        return ConditionalWrite(keyOf(attributes), expected, if (put) attributes.at("value").text("S") else null)
    }

    private fun canceled(writes: List<ConditionalWrite>, conflict: WriteOutcome.Conflict) = buildJsonObject {
        put("__type", "$TYPE#TransactionCanceledException")
        putJsonArray("CancellationReasons") {
            for (write in writes) {
                add(
                    buildJsonObject {
                        put(
                            "Code",
                            if (write.key in
                                conflict.keys
                            ) {
                                "ConditionalCheckFailed"
                            } else {
                                "None"
                            },
                        )
                    },
                )
            }
        }
    }

    private fun error(name: String) = buildJsonObject { put("__type", "$TYPE#$name") }

    private fun ok(build: JsonObjectBuilder.() -> Unit) = Answer(200, buildJsonObject(build))

    private fun key(key: String) = buildJsonObject {
        putJsonObject("pk") { put("S", RowKeys.partition(key)) }
        putJsonObject("sk") { put("S", RowKeys.sortKey(key)) }
    }

    private fun item(row: Row): JsonElement = JsonObject(
        key(row.key) +
            buildJsonObject {
                putJsonObject("version") { put("N", row.version.toString()) }
                putJsonObject("value") { put("S", row.value) }
            },
    )

    private fun keyOf(item: JsonObject) = item.at("pk").text("S") + "/" + item.at("sk").text("S")

    private fun JsonObject.at(name: String) = getValue(name).jsonObject

    private fun JsonObject.text(name: String) = getValue(name).jsonPrimitive.content

    override fun close() {
        server.disposeNow()
    }

    private companion object {
        const val TYPE = "com.amazonaws.dynamodb.v20120810"
    }
}
