package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId

/**
 * The share tables of the last changes, from which the level of a bucket without state is computed.
 *
 * A bucket without state has had no traffic since it was full, or none at all: it starts empty when this host got its
 * holding and fills from then on, within the holding of each table in turn.
 */
internal class HoldingHistory(private val self: MemberId) {
    private val entries = ArrayDeque<Entry>()

    var current: ShareTable = ShareTable.EMPTY
        private set

    fun add(table: ShareTable, nowMillis: Long) {
        current = table
        entries.addLast(Entry(table, nowMillis))
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    fun newBucket(customer: CustomerId, nowMillis: Long): CustomerBucket {
        val first = entries.firstOrNull() ?: return CustomerBucket(Allowance.NONE, level = 0.0, nowMillis)
        val bucket = CustomerBucket(first.table.holding(self, customer), level = 0.0, first.sinceMillis)
        for (entry in entries.drop(1)) {
            bucket.advance(entry.sinceMillis)
            bucket.hold(entry.table.holding(self, customer))
        }
        bucket.advance(nowMillis)
        return bucket
    }

    private class Entry(val table: ShareTable, val sinceMillis: Long)

    private companion object {
        const val MAX_ENTRIES = 16
    }
}
