package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.fleet.StorePosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The order of records, and the fences of claims. */
class GroupRecordTest {
    private val record = GroupRecord(
        DatabaseId("g"),
        StorePosition(1, 1),
        fence = 7,
        primary = TargetId("p"),
        isChanging = true,
        isPlanned = false,
        holder = "h#1",
        term = 1,
    )

    /** Guards against a fence that was used before the store was restored, when no host remembers the record. */
    @Test
    fun `the first fence of an epoch exceeds all fences of the epochs before`() {
        for (epoch in 1L..3L) {
            assertTrue(GroupRecord.nextFence(known = null, epoch + 1) > GroupRecord.highestFence(epoch), "epoch $epoch")
        }
    }

    @Test
    fun `a claim has a higher fence than the known record, also one of a later epoch`() {
        assertEquals(8, GroupRecord.nextFence(record, epoch = 1))
        val later = record.copy(fence = GroupRecord.nextFence(known = null, epoch = 3))
        assertEquals(later.fence + 1, GroupRecord.nextFence(later, epoch = 2))
    }

    @Test
    fun `a record is newer by its fence, then once it is published, then by its orders`() {
        val ordered = record.copy(order = PromotionOrder(TargetId("u"), fence = 7, attempt = 1, openCount = 1))
        val published = record.copy(isChanging = false)

        assertTrue(record.copy(fence = 8).isNewerThan(published))
        assertTrue(published.isNewerThan(ordered))
        assertTrue(ordered.isNewerThan(record))
        assertTrue(!record.isNewerThan(record))
    }
}
