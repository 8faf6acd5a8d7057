package dev.cardamomlane.engine.fleet

/**
 * The epoch that the store's rows name as settled, see [EpochSettlement].
 *
 * @property version the version of the row that names it; 0 when there is none, since the first epoch needs no row
 */
public data class SettledEpoch(val epoch: Long, val version: Long) {
    public companion object {
        /** The settled epoch of a store without a row that names one. */
        public val FIRST: SettledEpoch = SettledEpoch(epoch = StorePosition.FIRST_EPOCH, version = 0)
    }
}
