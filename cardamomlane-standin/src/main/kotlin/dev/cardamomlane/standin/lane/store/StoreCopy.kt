package dev.cardamomlane.standin.lane.store

/** The rows of a [RowStore] as of [version]. */
internal class StoreCopy(val rows: List<StoreRow>, val version: Long)
