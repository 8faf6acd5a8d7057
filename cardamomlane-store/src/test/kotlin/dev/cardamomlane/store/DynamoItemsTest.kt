package dev.cardamomlane.store

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import software.amazon.awssdk.services.dynamodb.model.AttributeValue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class DynamoItemsTest {
    private val good = mapOf(
        "pk" to AttributeValue.fromS("member"),
        "sk" to AttributeValue.fromS("host-1"),
        "version" to AttributeValue.fromN("3"),
        "value" to AttributeValue.fromS("{}"),
    )

    @Test
    fun `an item that a host wrote is a row`() {
        assertEquals(Row("member/host-1", 3, "{}"), DynamoItems.row(good).getOrNull())
    }

    // One item of another writer made the scan of all leases fail on every host.
    @TestFactory
    fun `an item that no host wrote is unusable`() = listOf(
        "no version" to good - "version",
        "version 0" to good + ("version" to AttributeValue.fromN("0")),
        "version -1" to good + ("version" to AttributeValue.fromN("-1")),
        "version 1E20" to good + ("version" to AttributeValue.fromN("1E20")),
        "version as text" to good + ("version" to AttributeValue.fromS("3")),
        "no value" to good - "value",
        "value as list" to good + ("value" to AttributeValue.fromL(emptyList())),
        "no key" to good - "pk",
        "empty name" to good + ("sk" to AttributeValue.fromS("")),
    ).map { (name, item) ->
        DynamicTest.dynamicTest(name) { assertNotNull(DynamoItems.row(item).leftOrNull()) }
    }
}
