package dev.cardamomlane.engine.zone

import dev.cardamomlane.engine.fleet.StorePosition
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The availability zones that operators have asked to drain, as of one position of the store.
 *
 * Copies are ordered by [position]. After the store was restored, the rows of its new epoch count even if they are
 * older, since operators read the same rows.
 *
 * @property position where the store stood when the rows were read; [StorePosition.START] before the first read
 * @property zones their names, sorted and without duplicates
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class ZoneDrains(val position: StorePosition, val zones: List<String>) {
    public companion object {
        /** The state before any rows were read. */
        public val UNKNOWN: ZoneDrains = ZoneDrains(StorePosition.START, emptyList())

        /** The most zones of one message; it bounds heartbeats, as operators may write any number of rows. */
        public const val MAX_ZONE_COUNT: Int = 32

        /** A copy as of [position]; [names] may be unsorted and contain duplicates. */
        public fun of(position: StorePosition, names: Collection<String>): ZoneDrains =
            ZoneDrains(position, names.distinct().sorted())
    }
}
