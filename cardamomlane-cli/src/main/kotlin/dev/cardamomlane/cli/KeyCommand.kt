package dev.cardamomlane.cli

import arrow.core.getOrElse
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.keys.KeyHash
import dev.cardamomlane.core.keys.KeyId
import dev.cardamomlane.core.keys.KeyRecord
import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.put
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import java.security.SecureRandom
import java.util.HexFormat

/** Grants, withdraws and lists the keys of customers. */
@Command(name = "key", description = ["Grants, withdraws and lists keys."])
internal class KeyCommand {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Command(
        name = "grant",
        description = ["Grants one new key to each customer and prints it. It cannot be shown again."],
    )
    fun grant(
        @Parameters(paramLabel = "CUSTOMER", arity = "1..*") customers: List<String>,
        @Option(names = ["--wait-seconds"], paramLabel = "S", defaultValue = "30") waitSeconds: Long,
    ): Int = parent.withConnection { connection ->
        checkCustomersExist(connection, customers)
        val grants = customers.map { Grant.generate(CustomerId(it)) }
        val editor = RevisionEditor(connection)
        val revision = editor.changeKeys(deadline(waitSeconds)) { keys -> keys + grants.map { it.record } }
        print(grants)
        InForceWaiter(connection, parent).waitFor(revision, waitSeconds)
    }

    @Command(name = "withdraw", description = ["Withdraws a key. Requests on open connections are refused too."])
    fun withdraw(
        @Parameters(paramLabel = "CUSTOMER") customer: String,
        @Parameters(paramLabel = "KEYID") id: String,
        @Option(names = ["--wait-seconds"], paramLabel = "S", defaultValue = "30") waitSeconds: Long,
    ): Int = parent.withConnection { connection ->
        val revision = RevisionEditor(connection).changeKeys(deadline(waitSeconds)) { keys ->
            val rest = keys.filterNot { it.customer.value == customer && it.id.value == id }
            if (rest.size == keys.size) {
                throw CommandFailure(ExitCodes.REFUSED, "Customer $customer has no key $id.")
            }
            rest
        }
        InForceWaiter(connection, parent).waitFor(revision, waitSeconds)
    }

    @Command(name = "list", description = ["Lists the ids of the keys in force."])
    fun list(): Int {
        val keys = parent.withConnection { it.revision(it.head().accepted).keys }
        if (parent.json) {
            val answer = buildJsonArray { keys.forEach { addKey(it, key = null) } }
            parent.out.println(answer)
        } else {
            keys.forEach { parent.out.println("${it.customer} ${it.id}") }
        }
        return ExitCodes.OK
    }

    private fun checkCustomersExist(connection: Connection, customers: List<String>) {
        val rules = connection.revision(connection.head().accepted).toConfiguration()
            .getOrElse { throw CommandFailure(ExitCodes.REFUSED, it.joinToString("\n")) }.rules
        val unknown = customers.filter { CustomerId(it) !in rules.limits }
        if (unknown.isNotEmpty()) {
            throw CommandFailure(
                ExitCodes.REFUSED,
                "No customer line in the rules in force names ${unknown.joinToString()}.",
            )
        }
    }

    private fun print(grants: List<Grant>) {
        if (parent.json) {
            parent.out.println(buildJsonArray { grants.forEach { addKey(it.record, it.key) } })
        } else {
            grants.forEach { parent.out.println("${it.record.customer} ${it.record.id} ${it.key}") }
        }
    }

    private fun JsonArrayBuilder.addKey(record: KeyRecord, key: String?) {
        addJsonObject {
            put("customer", record.customer.value)
            put("id", record.id.value)
            if (key != null) put("key", key)
        }
    }

    private fun deadline(waitSeconds: Long) = System.nanoTime() + waitSeconds * NANOS_PER_SECOND

    private class Grant(val record: KeyRecord, val key: String) {
        companion object {
            fun generate(customer: CustomerId): Grant {
                val key = HexFormat.of().formatHex(randomBytes(KEY_BYTES))
                val id = HexFormat.of().formatHex(randomBytes(ID_BYTES))
                val hash = KeyHash.of(key, salt = randomBytes(KeyHash.MIN_SALT_BYTES)).toString()
                return Grant(KeyRecord(KeyId(id), customer, hash), key)
            }

            private fun randomBytes(count: Int) = ByteArray(count).also(random::nextBytes)
        }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val KEY_BYTES = 20
        const val ID_BYTES = 6
        val random = SecureRandom()
    }
}
