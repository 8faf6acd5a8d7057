package dev.cardamomlane.store

import arrow.core.Either
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.keys.KeyId
import dev.cardamomlane.core.keys.KeyRecord
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Encodes and decodes the JSON of the rows `config/head` and `config/revision/N`. */
internal object ConfigurationRows {
    const val HEAD_KEY = "config/head"
    private val json = Json { encodeDefaults = true }

    @Serializable
    private data class HeadJson(val accepted: Long, val proposed: Long? = null)

    @Serializable
    private data class KeyJson(val id: String, val customer: String, val hash: String)

    @Serializable
    private data class RevisionJson(
        val rules: String,
        val keys: List<KeyJson>,
        val basedOn: Long,
        val author: String,
        val token: String = "",
    )

    fun revisionKey(number: Long): String = "config/revision/$number"

    fun headOf(row: Row): Either<UnusableRow, ConfigurationHead> =
        RowReader(HeadJson.serializer()).read(row) { ConfigurationHead(it.accepted, it.proposed) }

    fun write(head: ConfigurationHead): String = json.encodeToString(HeadJson(head.accepted, head.proposed))

    fun revisionOf(row: Row): Either<UnusableRow, Revision> = RowReader(RevisionJson.serializer()).read(row) { stored ->
        val number = row.key.substringAfterLast('/').toLong()
        val keys = stored.keys.map { KeyRecord(KeyId(it.id), CustomerId(it.customer), it.hash) }.toImmutableList()
        Revision(number, stored.basedOn, stored.author, stored.rules, keys)
    }

    /** Returns the idempotency token with which the revision in [row] was proposed, or null if the row is unusable. */
    fun tokenOf(row: Row): String? = RowReader(RevisionJson.serializer()).read(row) { it.token }.getOrNull()

    fun write(draft: Draft, basedOn: Long, token: String): String {
        val keys = draft.keys.map { KeyJson(it.id.value, it.customer.value, it.hash) }
        return json.encodeToString(RevisionJson(draft.rulesText, keys, basedOn, draft.author, token))
    }
}
