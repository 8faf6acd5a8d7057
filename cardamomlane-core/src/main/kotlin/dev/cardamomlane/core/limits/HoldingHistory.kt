package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * The most recent share tables, from which the level of a bucket that this host keeps no state for is computed.
 *
 * A bucket without state has had no traffic since it was full, or none at all. It is computed as empty at the oldest
 * table and as refilling since then, within the holding that each table gave this host.
 */
internal class HoldingHistory(private val self: MemberId) {
    private val entries = ArrayDeque<Entry>()

    var current: ShareTable = ShareTable.EMPTY
        private set

    /** Makes [table] the current one and drops the oldest if there are too many. */
    fun add(table: ShareTable, nowMillis: Long) {
        current = table
        entries.addLast(Entry(table, nowMillis))
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    /** A bucket with the level that it would have at [nowMillis] after no traffic. */
    fun newBucket(customer: CustomerId, nowMillis: Long): CustomerBucket {
        val first = entries.firstOrNull() ?: return CustomerBucket(Allowance.NONE, level = 0.0, nowMillis)
        val bucket = CustomerBucket(first.table.holding(self, customer), level = 0.0, first.sinceMillis)
        for (entry in entries.drop(1)) {
            bucket.advance(entry.sinceMillis)
            bucket.replaceHolding(entry.table.holding(self, customer))
        }
        bucket.advance(nowMillis)
        return bucket
    }

    private class Entry(val table: ShareTable, val sinceMillis: Long)

    private companion object {
        const val MAX_ENTRIES = 16
    }
}
