package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class TableServiceTest {
    private val table = TableService("t")

    @TestFactory
    fun `conditions on a row of version 2`() = listOf(
        "attribute_exists(pk)" to true,
        "attribute_not_exists(pk)" to false,
        "#v = :two" to true,
        "#v = :one" to false,
        "#v <> :one AND #v >= :two" to true,
        "NOT (#v = :two OR #v = :one)" to false,
        "absent = :two" to false,
        "begins_with(sk, :sk)" to true,
    ).map { (condition, holds) ->
        DynamicTest.dynamicTest(condition) {
            table.run("PutItem", put(version = 2))
            val request = put(version = 3, condition)
            if (holds) {
                table.run("PutItem", request)
            } else {
                assertEquals("ConditionalCheckFailedException", failure { table.run("PutItem", request) })
            }
            assertEquals(if (holds) "3" else "2", version())
        }
    }

    @Test
    fun `a transaction with one failed condition changes nothing and reports which one failed`() {
        val writes = """{"Put":${put(1)}},{"ConditionCheck":${key("absent", "attribute_exists(pk)")}}"""
        val error =
            assertFailsWith<TableError> { table.run("TransactWriteItems", json("""{"TransactItems":[$writes]}""")) }

        val codes = error.fields.getValue("CancellationReasons").jsonArray.map {
            it.jsonObject["Code"]?.jsonPrimitive?.content
        }
        assertEquals(listOf<String?>("None", "ConditionalCheckFailed"), codes)
        assertEquals(0, table.itemCount)
    }

    @Test
    fun `a transaction with a token is idempotent`() {
        val request = transaction("token-1", put(1, "attribute_not_exists(pk)"))
        repeat(2) { table.run("TransactWriteItems", request) }

        assertEquals("1", version())
        val other = transaction("token-1", put(9))
        assertEquals("IdempotentParameterMismatchException", failure { table.run("TransactWriteItems", other) })
    }

    @Test
    fun `a query returns the rows of a prefix in pages`() {
        for (name in listOf("b/1", "b/2", "c")) table.run("PutItem", put(1, name = name))
        val request = """{"TableName":"t","Limit":1,"KeyConditionExpression":"pk = :pk AND begins_with(sk, :sk)",
            "ExpressionAttributeValues":{":pk":{"S":"p"},":sk":{"S":"b/"}}"""
        val first = table.run("Query", json("$request}"))
        val second = table.run("Query", json("""$request,"ExclusiveStartKey":${first.getValue("LastEvaluatedKey")}}"""))

        assertEquals(listOf("b/1", "b/2"), listOf(first, second).map { sortKey(it) })
        assertEquals(null, second["LastEvaluatedKey"])
    }

    @TestFactory
    fun `bad requests`() = listOf(
        "an unknown table" to ("GetItem" to """{"TableName":"x","Key":{"pk":{"S":"p"},"sk":{"S":"a"}}}"""),
        "a key without its sort key" to ("GetItem" to """{"TableName":"t","Key":{"pk":{"S":"p"}}}"""),
        "a condition that ends early" to ("PutItem" to """${put(1, "attribute_exists(")}"""),
        "an unknown operation" to ("Scan" to """{"TableName":"t"}"""),
        "an empty transaction" to ("TransactWriteItems" to """{"TransactItems":[]}"""),
    ).map { (name, request) ->
        DynamicTest.dynamicTest(name) { assertFailsWith<TableError> { table.run(request.first, json(request.second)) } }
    }

    private fun put(version: Int, condition: String? = null, name: String = "a"): JsonObject {
        val item = """{"pk":{"S":"p"},"sk":{"S":"$name"},"version":{"N":"$version"}}"""
        return json("""{"TableName":"t","Item":$item${expression(condition)}}""")
    }

    private fun key(name: String, condition: String): JsonObject =
        json("""{"TableName":"t","Key":{"pk":{"S":"p"},"sk":{"S":"$name"}}${expression(condition)}}""")

    private fun expression(condition: String?): String = if (condition == null) {
        ""
    } else {
        ""","ConditionExpression":"$condition","ExpressionAttributeNames":{"#v":"version"},
            "ExpressionAttributeValues":{":one":{"N":"1"},":two":{"N":"2"},":sk":{"S":"a"}}"""
    }

    private fun transaction(token: String, put: JsonObject): JsonObject =
        json("""{"ClientRequestToken":"$token","TransactItems":[{"Put":$put}]}""")

    private fun version(): String? =
        table.run("GetItem", json("""{"TableName":"t","Key":{"pk":{"S":"p"},"sk":{"S":"a"}}}"""))
            .getValue("Item").jsonObject.getValue("version").jsonObject["N"]?.jsonPrimitive?.content

    private fun sortKey(page: JsonObject): String? = page.getValue("Items").jsonArray.single()
        .jsonObject.getValue("sk").jsonObject["S"]?.jsonPrimitive?.content

    private fun failure(action: () -> Unit): String = assertFailsWith<TableError> { action() }.type

    private fun json(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject
}
