package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.MemoryPlatformTable
import kotlin.test.Test
import kotlin.test.assertEquals

class HostLeaseTest {
    private val table = MemoryPlatformTable()
    private val control = ControlTable(table)
    private val self = Member(MemberId(HostId("host-1"), incarnation = 1), "127.0.0.1:7432")

    private fun overwrite(value: String) {
        table.write(listOf(ConditionalWrite("member/host-1", expectedVersion = 1, value)), token = "odd").block()
    }

    // A host whose lease row another writer had overwritten took that for a later incarnation and stopped for good.
    @Test
    fun `a lease that was overwritten with garbage is taken back`() {
        val lease = HostLease(table, self)
        assertEquals(true, lease.renew().block())
        overwrite("garbage")

        assertEquals(true, lease.renew().block())
        assertEquals(true, lease.renew().block())
        assertEquals(listOf(self), control.leases().block()?.map { it.member })
    }

    // The other side of the same decision: taking back what a later incarnation wrote would let two of them serve.
    @Test
    fun `a lease that a later incarnation wrote is lost`() {
        val lease = HostLease(table, self)
        assertEquals(true, lease.renew().block())
        val later = self.copy(id = self.id.copy(incarnation = 2))
        overwrite(FleetRows.encodeLease(later, isRetired = false))

        assertEquals(false, lease.renew().block())
    }
}
