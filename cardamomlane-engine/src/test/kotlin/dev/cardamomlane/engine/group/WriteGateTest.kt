package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.engine.FakeTargets
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetListener
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class WriteGateTest {
    private val timers = ManualTimerService(timeMillis = 10_000)
    private val records = GroupRecords()
    private val group = DatabaseId("g")
    private val target = Target(targetEntry("p"), timers, FakeTargets(timers), DecisionLog.None, NoListener)
    private val gate = WriteGate(group, records, timers, isPrimary = { it === target })
    private var version = 0L

    init {
        records.onChange { if (it.isChanging) gate.onTakeover(it) else gate.onPublished(it) }
    }

    private fun learn(fence: Long, takeoverFence: Long, isChanging: Boolean, primary: String = "p") {
        val record = GroupRecord(
            group, StorePosition(1, ++version), fence, TargetId(primary), isChanging, isPlanned = true, holder = "h#1",
            term = 1, takeoverFence = takeoverFence,
        )
        records.learn(listOf(record), newestAtMillis = timers.nowMillis())
    }

    /** Guards against commits at the old primary after a planned takeover has lost its holder and is claimed again. */
    @Test
    fun `a confirmation binds for every later claim of the same takeover`() {
        learn(fence = 1, takeoverFence = 1, isChanging = false)
        gate.opened("transaction")
        learn(fence = 2, takeoverFence = 2, isChanging = true)
        timers.advance(GRACE_MILLIS)
        assertEquals(2, gate.confirmedFence)

        for (fence in 3L..5L) {
            learn(fence, takeoverFence = 2, isChanging = true)

            assertFalse(gate.mayCommit(target) || gate.mayAcknowledge(target), "under fence $fence")
            assertTrue(gate.isReplaced(target))
            timers.advance(GRACE_MILLIS / 10)
        }
    }

    /** Guards against commits of a transaction that was being begun when this host confirmed, under a later claim. */
    @Test
    fun `a confirmation without open transactions binds one that opens afterwards`() {
        learn(fence = 1, takeoverFence = 1, isChanging = false)
        learn(fence = 2, takeoverFence = 2, isChanging = true)
        assertEquals(2, gate.confirmedFence)
        gate.opened("transaction")

        learn(fence = 3, takeoverFence = 2, isChanging = true)

        assertFalse(gate.mayCommit(target) || gate.mayAcknowledge(target))
    }

    @Test
    fun `a write at a target that is not the primary is neither committed nor acknowledged`() {
        learn(fence = 1, takeoverFence = 1, isChanging = false)
        val other = Target(targetEntry("q"), timers, FakeTargets(timers), DecisionLog.None, NoListener)

        assertTrue(gate.mayAcknowledge(target))
        assertFalse(gate.mayCommit(other) || gate.mayAcknowledge(other))
    }

    /** Guards against a host that gets its grace time again with each claim and so never confirms. */
    @Test
    fun `the grace time of open transactions counts from the first claim`() {
        learn(fence = 1, takeoverFence = 1, isChanging = false)
        gate.opened("transaction")
        learn(fence = 2, takeoverFence = 2, isChanging = true)
        timers.advance(GRACE_MILLIS / 2)
        learn(fence = 3, takeoverFence = 2, isChanging = true)
        assertTrue(gate.mayCommit(target))

        timers.advance(GRACE_MILLIS / 2)

        assertEquals(3, gate.confirmedFence)
        assertFalse(gate.mayCommit(target))
    }

    /** Guards against a confirmation that outlasts its takeover, and counts for the next one at once. */
    @Test
    fun `a confirmation ends when a primary is published`() {
        learn(fence = 1, takeoverFence = 1, isChanging = true)
        assertFalse(gate.mayAcknowledge(target))

        learn(fence = 1, takeoverFence = 1, isChanging = false)

        assertTrue(gate.mayAcknowledge(target) && gate.mayCommit(target))
        gate.opened("transaction")
        learn(fence = 2, takeoverFence = 2, isChanging = true)
        assertTrue(gate.mayCommit(target))
        assertEquals(0, gate.confirmedFence)
    }

    private object NoListener : TargetListener {
        override fun onCapacity(target: Target) = Unit

        override fun onUnreachable(target: Target) = Unit

        override fun onReadOnly(target: Target) = Unit

        override fun onPosition(target: Target, sentAtMillis: Long, position: LogPosition) = Unit
    }

    private companion object {
        /** How long open transactions may go on in a planned takeover. */
        const val GRACE_MILLIS = 350L
    }
}
