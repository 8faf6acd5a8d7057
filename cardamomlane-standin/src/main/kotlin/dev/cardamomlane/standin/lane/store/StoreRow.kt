package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A row as it stands in bodies of calls.
 *
 * @property value the content in base64
 * @property version the version of the transaction that wrote the row; in a precondition, 0 means that it is absent
 * @property isDeleted true for a change that removed the row
 */
@Serializable
internal data class StoreRow(
    val table: String,
    val part: String = "",
    val key: String,
    val value: String? = null,
    @SerialName(PlatformWords.VERSION) val version: Long = 0,
    @SerialName(PlatformWords.DELETED) val isDeleted: Boolean? = null,
) {
    val name: RowName get() = RowName(table, part, key)
}
