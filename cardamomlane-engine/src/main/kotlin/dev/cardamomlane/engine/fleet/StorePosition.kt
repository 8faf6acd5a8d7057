package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.SequenceNumbers
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A point in the history of the platform's store.
 *
 * The store's version rises with each change, but only within an epoch. When the store comes back from an older copy of
 * its rows, it goes back to the copy's version and gives out the later ones again, and its epoch rises. So positions are
 * ordered by epoch first, and versions of different epochs are not comparable.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class StorePosition(val epoch: Long, val version: Long) : Comparable<StorePosition> {
    init {
        require(epoch in EPOCHS) { "epoch $epoch is out of range" }
        require(version in -1..MAX_VERSION) { "version $version is out of range" }
    }

    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.epoch }, { it.version })

    /** Returns the position as `epoch:version`, for logs. */
    override fun toString(): String = "$epoch:$version"

    public companion object {
        /** The epoch of a store that names none. */
        public const val UNKNOWN_EPOCH: Long = 0

        /** The epoch of a store that has never been restored. */
        public const val FIRST_EPOCH: Long = 1

        /** The epochs that a store can name; more than the restorations of any. */
        public val EPOCHS: LongRange = UNKNOWN_EPOCH..1_000_000

        /** More than the changes in any store, and exact in every JSON reader. */
        public const val MAX_VERSION: Long = SequenceNumbers.MAX

        /** The position before every other one. */
        public val START: StorePosition = StorePosition(epoch = UNKNOWN_EPOCH, version = -1)
    }
}
