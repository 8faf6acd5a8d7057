package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.wire.peer.PeerMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class GroupViewRequestsTest {
    private val peer = MemberId(HostId("host-2"), incarnation = 1)

    // A peer's term of Long.MAX_VALUE was adopted: no target has it, so every statement was refused for good.
    @Test
    fun `a view with a term that no group reaches is refused`() {
        val views = ArrayList<PeerView>()
        var askId = 0L
        val requests = GroupViewRequests(ManualTimerService()) { _, message ->
            askId = (message as PeerMessage.GroupViewRequest).askId
        }
        requests.ask(listOf(peer), DatabaseId("orders-1"), timeoutMillis = 100).subscribe(views::add)
        for (term in listOf(Long.MAX_VALUE, -1, Long.MIN_VALUE)) {
            val response = PeerMessage.GroupViewResponse(askId, "orders-1", term, "a", "REACHED")
            assertFailsWith<IllegalArgumentException> { requests.onResponse(peer, response) }
        }
        assertEquals(emptyList(), views)
    }
}
