package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.rules.RuleSet
import kotlin.test.Test
import kotlin.test.assertEquals

/** What a host does when the platform's table comes back from an older copy and revisions are numbered anew. */
class RestoredTableTest {
    private val machine = FleetMachine(Member(MemberId(HostId("a"), incarnation = 1), "127.0.0.1:1"))
    private var nowMillis = 0L

    private fun read(accepted: Long): List<FleetAction> {
        nowMillis += 1_000
        val rows = ControlRows(head = RevisionHead(accepted, proposed = null), headRowVersion = accepted)
        return machine.on(FleetEvent.PlatformRead(nowMillis, rows), nowMillis)
    }

    private fun load(revision: Long) {
        val configuration = Configuration(revision, RuleSet.EMPTY, rulesText = "", KeyRing.EMPTY)
        machine.on(FleetEvent.RevisionLoaded(configuration), nowMillis)
    }

    @Test
    fun `a revision whose number the table gave out again is fetched`() {
        read(accepted = 4)
        load(4)
        read(accepted = 5)
        load(5)
        read(accepted = 4)

        val fetched = read(accepted = 5).filterIsInstance<FleetAction.LoadRevision>().map { it.revision }

        assertEquals(listOf(5L), fetched)
    }
}
