package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import java.util.TreeMap

/**
 * One table of an emulated transactional table service with the operations of the DynamoDB API.
 *
 * Every operation is atomic and reads are consistent. Safe for use by several threads.
 */
internal class TableService(private val tableName: String) {
    private val items = TreeMap<ItemKey, JsonObject>()
    private val requestsByToken = HashMap<String, JsonObject>()

    /** How many items the table holds. */
    val itemCount: Int get() = synchronized(this) { items.size }

    /** Runs [operation] with [request] and returns its answer. Throws [TableError] if the service refuses it. */
    @Synchronized
    fun run(operation: String, request: JsonObject): JsonObject = when (operation) {
        "GetItem" -> get(request)
        "PutItem" -> writeOne("Put", request)
        "DeleteItem" -> writeOne("Delete", request)
        "TransactWriteItems" -> transact(request)
        "Query" -> query(request)
        "CreateTable" -> buildJsonObject { put("TableDescription", description()) }
        "DescribeTable" -> buildJsonObject { put("Table", description()) }
        else -> throw TableError("UnknownOperationException", "operation \"$operation\" is not supported")
    }

    /** Stores a row at version 1, without conditions. [key] is `partition/sort`. */
    @Synchronized
    fun seed(key: String, value: String) {
        val itemKey = ItemKey(partition = key.substringBefore('/'), sort = key.substringAfter('/'))
        val row = buildJsonObject {
            putJsonObject("version") { put("N", "1") }
            putJsonObject("value") { put("S", value) }
        }
        items[itemKey] = JsonObject(itemKey.toJson() + row)
    }

    private fun get(request: JsonObject): JsonObject {
        requireTable(request)
        val item = items[ItemKey.of(request.getValue("Key").jsonObject)]
        return JsonObject(if (item == null) emptyMap() else mapOf("Item" to item))
    }

    private fun writeOne(action: String, request: JsonObject): JsonObject {
        requireTable(request)
        val write = TableWrite.of(action, request)
        if (!write.condition.holds(items[write.key])) throw TableError.conditionFailed()
        apply(write)
        return JsonObject(emptyMap())
    }

    private fun transact(request: JsonObject): JsonObject {
        val token = request["ClientRequestToken"]?.jsonPrimitive?.content
        if (token != null && token in requestsByToken) return replay(token, request)
        val writes = request.getValue("TransactItems").jsonArray.map { entry ->
            val (action, body) = entry.jsonObject.entries.single()
            requireTable(body.jsonObject)
            TableWrite.of(action, body.jsonObject)
        }
        requireDistinct(writes)
        val conditionResults = writes.map { it.condition.holds(items[it.key]) }
        if (false in conditionResults) throw transactionCanceled(conditionResults)
        writes.forEach(::apply)
        token?.let { requestsByToken[it] = request }
        return JsonObject(emptyMap())
    }

    /** Answers a transaction whose token was seen before, without running it again. */
    private fun replay(token: String, request: JsonObject): JsonObject {
        if (requestsByToken[token] == request) return JsonObject(emptyMap())
        throw TableError("IdempotentParameterMismatchException", "token \"$token\" came with another request")
    }

    private fun requireDistinct(writes: List<TableWrite>) {
        if (writes.isEmpty() || writes.size > MAX_TRANSACTION_ITEMS) {
            throw TableError.validation("a transaction holds 1 to $MAX_TRANSACTION_ITEMS items but got ${writes.size}")
        }
        if (writes.map(TableWrite::key).toSet().size != writes.size) {
            throw TableError.validation("a transaction can't hold several writes of one item")
        }
    }

    private fun transactionCanceled(conditionResults: List<Boolean>): TableError {
        val reasons = conditionResults.map { holds ->
            buildJsonObject {
                put("Code", if (holds) "None" else "ConditionalCheckFailed")
                if (!holds) put("Message", TableError.CONDITION_FAILED)
            }
        }
        return TableError(
            type = "TransactionCanceledException",
            message = "Transaction cancelled, please refer cancellation reasons for specific reasons",
            fields = JsonObject(mapOf("CancellationReasons" to JsonArray(reasons))),
        )
    }

    private fun apply(write: TableWrite) {
        when (write) {
            is TableWrite.Put -> items[write.key] = write.item
            is TableWrite.Delete -> items.remove(write.key)
            is TableWrite.ConditionCheck -> Unit
        }
    }

    private fun query(request: JsonObject): JsonObject {
        requireTable(request)
        val condition = Condition.of(request, "KeyConditionExpression")
        val forward = request["ScanIndexForward"]?.jsonPrimitive?.boolean ?: true
        val start = request["ExclusiveStartKey"]?.let { ItemKey.of(it.jsonObject) }
        val ordered = if (forward) items else items.descendingMap()
        val rest = if (start == null) ordered else ordered.tailMap(start, false)
        val page = TablePage(limit = request["Limit"]?.jsonPrimitive?.int ?: Int.MAX_VALUE)
        rest.values.asSequence().filter(condition::holds).takeWhile(page::add).count()
        return page.toJson()
    }

    private fun description(): JsonObject = buildJsonObject {
        put("TableName", tableName)
        put("TableStatus", "ACTIVE")
        put("ItemCount", items.size)
    }

    private fun requireTable(request: JsonObject) {
        val name = request["TableName"]?.jsonPrimitive?.content
        if (name != tableName) throw TableError("ResourceNotFoundException", "table \"$name\" does not exist")
    }

    private companion object {
        const val MAX_TRANSACTION_ITEMS = 100
    }
}
