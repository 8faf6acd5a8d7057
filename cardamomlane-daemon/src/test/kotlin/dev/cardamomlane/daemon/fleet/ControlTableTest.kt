package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.MemoryPlatformTable
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.test.assertTrue

class ControlTableTest {
    private val self = Member(MemberId(HostId("host-1"), incarnation = 1), "127.0.0.1:7432")

    // One odd row of the leases kept every host from reading any lease, so that no host could join or leave.
    @TestFactory
    fun `an odd lease loses only itself`() = listOf(
        "blank host" to ("member/ " to """{"incarnation":1,"peerAddress":"127.0.0.1:1"}"""),
        "nested" to ("member/odd" to "[".repeat(60_000)),
        "no JSON" to ("member/odd" to "\u0000"),
        "number too large" to ("member/odd" to """{"incarnation":1e999,"peerAddress":"127.0.0.1:1"}"""),
        "port 0" to ("member/odd" to """{"incarnation":1,"peerAddress":"127.0.0.1:0"}"""),
        "port 65536" to ("member/odd" to """{"incarnation":1,"peerAddress":"127.0.0.1:65536"}"""),
        "no address" to ("member/odd" to """{"incarnation":1,"peerAddress":"\r\n"}"""),
    ).map { (name, row) ->
        DynamicTest.dynamicTest(name) {
            val control = ControlTable(MemoryPlatformTable().also { it.putLeases(row) })
            assertEquals(listOf(self), control.leases().block()?.map { it.member })
        }
    }

    private fun MemoryPlatformTable.putLeases(odd: Pair<String, String>) {
        val lease = FleetRows.encodeLease(self, isRetired = false)
        val writes = listOf(ConditionalWrite("member/host-1", 0, lease), ConditionalWrite(odd.first, 0, odd.second))
        write(writes, token = "1").block()
    }

    // A record or head near Long.MAX_VALUE was adopted, and the next version or revision overflowed.
    @TestFactory
    fun `control rows that no fleet writes fail the read`() = listOf(
        "record/members" to """{"version":9223372036854775807,"members":[],"previous":null}""",
        "record/members" to """{"version":-1,"members":[],"previous":null}""",
        "record/members" to
            """{"version":1,"members":[{"host":"","incarnation":1,"peerAddress":"a"}],"previous":null}""",
        "config/head" to """{"accepted":9223372036854775807}""",
        "config/head" to """{"accepted":-1}""",
        "config/head" to """{"accepted":0,"proposed":9223372036854775807}""",
        "config/head" to "[".repeat(60_000),
    ).map { (key, value) ->
        DynamicTest.dynamicTest("$key ${value.take(40)}") {
            val table = MemoryPlatformTable()
            table.write(listOf(ConditionalWrite(key, 0, value)), token = "1").block()
            val failure = assertFails { ControlTable(table).read().block() }
            assertTrue(key in failure.message.orEmpty(), "the message names no row: ${failure.message}")
        }
    }
}
