package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The body of a transaction: it applies all of its entries if every precondition holds, and none otherwise. */
@Serializable
internal data class RowTransaction(
    @SerialName(PlatformWords.PRECONDITION) val preconditions: List<StoreRow> = emptyList(),
    @SerialName(PlatformWords.UPSERTS) val upserts: List<StoreRow> = emptyList(),
    @SerialName(PlatformWords.REMOVE) val removals: List<StoreRow> = emptyList(),
    @SerialName(PlatformWords.ACROSS) val isAcrossParts: Boolean = false,
) {
    /** All entries, in no particular order. */
    val entries: List<StoreRow> get() = preconditions + upserts + removals

    /** The parts that the entries name. */
    val parts: Set<String> get() = entries.mapTo(LinkedHashSet(), StoreRow::part)
}
