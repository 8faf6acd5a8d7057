package dev.cardamomlane.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import software.amazon.awssdk.services.dynamodb.model.AttributeValue
import software.amazon.awssdk.services.dynamodb.model.TransactWriteItem

/** Converts rows to and from DynamoDB items. `pk` and `sk` hold the key before and after its first slash. */
internal object DynamoItems {
    private const val PARTITION_KEY = "pk"
    private const val SORT_KEY = "sk"
    private const val VERSION = "version"
    private const val VALUE = "value"
    private const val ABSENT_CONDITION = "attribute_not_exists($PARTITION_KEY)"
    private const val VERSION_CONDITION = "#version = :expected"
    private val versionName = mapOf("#version" to VERSION)

    fun key(key: String): Map<String, AttributeValue> =
        mapOf(PARTITION_KEY to text(RowKeys.partition(key)), SORT_KEY to text(RowKeys.sortKey(key)))

    /** Converts [item], or says why it is no row: any program with access to the table may have written it. */
    fun row(item: Map<String, AttributeValue>): Either<UnusableRow, Row> {
        val key = "${item[PARTITION_KEY]?.s().orEmpty()}/${item[SORT_KEY]?.s().orEmpty()}"
        val version = item[VERSION]?.n()?.toLongOrNull()
            ?: return UnusableRow(key, "its version is no whole number").left()
        val value = item[VALUE]?.s() ?: return UnusableRow(key, "its value is no text").left()
        return try {
            Row(key, version, value).right()
        } catch (failure: IllegalArgumentException) {
            UnusableRow(key, failure.message.orEmpty()).left()
        }
    }

    /** Returns the key condition for the rows whose keys start with [prefix], with its values. */
    fun prefixCondition(prefix: String): PrefixCondition {
        val sortPrefix = RowKeys.sortKey(prefix)
        val partition = mapOf(":pk" to text(RowKeys.partition(prefix)))
        return if (sortPrefix.isEmpty()) {
            PrefixCondition("$PARTITION_KEY = :pk", partition)
        } else {
            val expression = "$PARTITION_KEY = :pk AND begins_with($SORT_KEY, :sk)"
            PrefixCondition(expression, partition + (":sk" to text(sortPrefix)))
        }
    }

    class PrefixCondition(val expression: String, val values: Map<String, AttributeValue>)

    fun transactItem(write: ConditionalWrite, tableName: String): TransactWriteItem {
        val value = write.value
        return if (value == null) delete(write, tableName) else put(write, value, tableName)
    }

    private fun put(write: ConditionalWrite, value: String, tableName: String): TransactWriteItem {
        val item = key(write.key) + mapOf(VERSION to number(write.expectedVersion + 1), VALUE to text(value))
        return TransactWriteItem.builder().put { put ->
            put.tableName(tableName).item(item)
            if (write.expectedVersion == ConditionalWrite.ABSENT) {
                put.conditionExpression(ABSENT_CONDITION)
            } else {
                put.conditionExpression(VERSION_CONDITION)
                    .expressionAttributeNames(versionName)
                    .expressionAttributeValues(expected(write))
            }
        }.build()
    }

    private fun delete(write: ConditionalWrite, tableName: String): TransactWriteItem =
        TransactWriteItem.builder().delete {
            it.tableName(tableName)
                .key(key(write.key))
                .conditionExpression(VERSION_CONDITION)
                .expressionAttributeNames(versionName)
                .expressionAttributeValues(expected(write))
        }.build()

    private fun expected(write: ConditionalWrite) = mapOf(":expected" to number(write.expectedVersion))

    private fun text(value: String) = AttributeValue.fromS(value)

    private fun number(value: Long) = AttributeValue.fromN(value.toString())
}
