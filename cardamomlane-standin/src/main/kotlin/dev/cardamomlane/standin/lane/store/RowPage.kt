package dev.cardamomlane.standin.lane.store

/** Rows of a range or of the feed, as of one moment. */
internal data class RowPage(val rows: List<StoreRow>, val hasMore: Boolean)
