package dev.cardamomlane.store

import dev.cardamomlane.core.ManualTimerService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class MemoryPlatformTableTest : PlatformTableContract() {
    private val timers = ManualTimerService()
    override val table = MemoryPlatformTable(timers)

    @Test
    fun `a write with a lost answer takes effect and can be retried with the same token`() {
        val token = token()
        val write = ConditionalWrite(key("a"), 0, "1")
        table.answersToLose = 1

        assertFailsWith<PlatformUnavailableException> { write(write, token = token) }

        assertNotNull(get("a"))
        assertEquals(WriteOutcome.Applied, write(write, token = token))
    }

    @Test
    fun `a lost request has no effect`() {
        table.requestsToLose = 1

        assertFailsWith<PlatformUnavailableException> { write(ConditionalWrite(key("a"), 0, "1")) }

        assertNull(get("a"))
    }

    @Test
    fun `an outage fails every operation`() {
        table.down = true

        assertFailsWith<PlatformUnavailableException> { get("a") }
        assertFailsWith<PlatformUnavailableException> { table.scan(key("")).blockLast() }
        assertFailsWith<PlatformUnavailableException> { write(ConditionalWrite(key("a"), 0, "1")) }
    }

    @Test
    fun `a slow table answers after its delay`() {
        table.delayMillis = 500
        var outcome: WriteOutcome? = null
        table.write(listOf(ConditionalWrite(key("a"), 0, "1")), token()).subscribe { outcome = it }

        timers.advance(499)
        assertNull(outcome)
        timers.advance(1)
        assertEquals(WriteOutcome.Applied, outcome)
    }
}
