package dev.cardamomlane.engine.target

import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.engine.fleet.StorePosition
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertEquals

class TargetListTest {
    private val timers = ManualTimerService()
    private val list = TargetList(timers, DecisionLog.None) {}
    private var version = 100L

    private fun entry(id: String, sequence: Long, isDraining: Boolean = false, startedAtUnixMillis: Long = 1) =
        targetEntry(id, isDraining = isDraining, startedAtUnixMillis = startedAtUnixMillis, sequence = sequence)

    private fun update(vararg entries: TargetEntry, epoch: Long = 1) =
        list.update(entries.toList(), StorePosition(epoch, version++))

    /** The list comes from a copy of the store: versions go back, and the epoch rises. */
    private fun restore(vararg entries: TargetEntry) {
        version = 50
        update(*entries, epoch = 2)
    }

    private fun used() = list.entries.associate { it.id.value to it.sequence }

    @Test
    fun `the newest list counts, whatever the entries say of their age`() {
        update(entry("a", 5), entry("b", 1))
        update(entry("a", 4))

        assertEquals(mapOf("a" to 4L), used())
    }

    @Test
    fun `a list of an earlier position is ignored`() {
        restore(entry("a", 1))
        update(entry("a", 9), epoch = 1)

        assertEquals(mapOf("a" to 1L), used())
    }

    @Test
    fun `a target that is leaving stays so when a restored list says otherwise`() {
        update(entry("a", 5, isDraining = true))
        restore(entry("a", 4))

        assertEquals(true, list.entries.single().isDraining)
    }

    @Test
    fun `a target that has left is not brought back by a restored list`() {
        update(entry("a", 5), entry("b", 1))
        update(entry("b", 1))
        restore(entry("a", 5), entry("b", 1))

        assertEquals(setOf("b"), used().keys)
    }

    @Test
    fun `a target that a restored list lacks is kept until the targets have had time to write again`() {
        update(entry("a", 1), entry("new", 1))
        restore(entry("a", 1))
        assertEquals(setOf("a", "new"), used().keys)

        timers.advance(5_000)

        assertEquals(setOf("a"), used().keys)
    }

    @Test
    fun `what targets write after the restoration counts at once`() {
        update(entry("a", 5), entry("gone", 3))
        update(entry("a", 5))
        restore(entry("a", 4), entry("gone", 3))
        update(entry("a", 6, isDraining = true), entry("gone", 4), epoch = 2)

        assertEquals(mapOf("a" to 6L, "gone" to 4L), used())
    }

    @Test
    fun `a target that started anew meanwhile counts although its count began anew`() {
        update(entry("a", 5))
        restore(entry("a", 1, startedAtUnixMillis = 2))

        assertEquals(mapOf("a" to 1L), used())
    }

    @Test
    fun `after that time a restored entry counts even if it is older`() {
        update(entry("a", 5))
        restore(entry("a", 4))
        assertEquals(mapOf("a" to 5L), used())

        timers.advance(5_000)

        assertEquals(mapOf("a" to 4L), used())
    }

    @Test
    fun `a second restoration starts the time anew`() {
        update(entry("a", 5))
        restore(entry("a", 4))
        timers.advance(3_000)
        update(entry("a", 3), epoch = 3)
        timers.advance(3_000)

        assertEquals(mapOf("a" to 5L), used())
    }
}
