package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.daemon.group.TermClaims
import dev.cardamomlane.daemon.settings.IpAddress
import dev.cardamomlane.daemon.settings.SettingsReader
import dev.cardamomlane.store.ConditionalWrite
import dev.cardamomlane.store.ConfigurationStore
import dev.cardamomlane.store.MemoryPlatformTable
import dev.cardamomlane.store.PlatformUnavailableException
import dev.cardamomlane.store.Row
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals

/** Feeds the readers of rows with mutated values. The seed is fixed, so that the verdict is the same on every run. */
class RowFuzzTest {
    private val random = Random(SEED)

    // An exception that the reader's handler doesn't expect loses the rows beside the odd one, or ends a feed.
    @Test
    fun `mutated rows are read or refused`() {
        val unexpected = fuzz(ROWS) { text ->
            FleetRows.decodeRecord(Row("record/members", 1, text))
            FleetRows.decodeHead(Row("config/head", 1, text))
            FleetRows.decodeLease(Row("member/host-1", 1, text))
        }
        assertEquals(emptyMap(), unexpected)
    }

    // As above, for the readers that go through the table; its failures are PlatformUnavailableException only.
    @Test
    fun `mutated tables are read or unavailable`() {
        val unexpected = fuzz(ROWS) { text ->
            val table = MemoryPlatformTable()
            val keys = listOf("config/head", "config/revision/1", "group/orders-1", "record/members", "member/host-1")
            table.write(keys.map { ConditionalWrite(it, 0, text) }, token = "1").block()
            unavailable { ConfigurationStore(table).head().block() }
            unavailable { ConfigurationStore(table).read(1).block() }
            unavailable { ControlTable(table).read().block() }
            ControlTable(table).leases().block()
            TermClaims(table, DatabaseId("orders-1")).claim(term = 2, claimant = "one").block()
        }
        assertEquals(emptyMap(), unexpected)
    }

    // An address that throws ends the action that dials its host; a file that throws ends the start without a finding.
    @Test
    fun `mutated addresses and settings are read or refused`() {
        val samples = listOf("127.0.0.1:6432", "[::1%1]:6432", "host: { name: [a, \"b\"] }", "a: &x 1\nb: *x\n--- c")
        val unexpected = fuzz(samples) { text ->
            IpAddress.parse(text)
            SettingsReader.read("lane.yaml", text)
        }
        assertEquals(emptyMap(), unexpected)
    }

    private fun unavailable(read: () -> Any?) {
        try {
            read()
        } catch (_: PlatformUnavailableException) {
            // What the contract of the table and the store names.
        }
    }

    /** Returns how often [read] threw what, on a thread with a small stack, as event loops have. */
    private fun fuzz(samples: List<String>, read: (String) -> Unit): Map<String, Int> {
        val unexpected = HashMap<String, Int>()
        val runs = Runnable {
            repeat(RUNS) {
                val text = mutated(samples.random(random))
                try {
                    read(text)
                } catch (failure: Throwable) {
                    unexpected.merge("$failure for ${text.take(100)}", 1, Int::plus)
                }
            }
        }
        Thread(null, runs, "fuzz", STACK_BYTES).apply { start() }.join()
        return unexpected
    }

    private fun mutated(sample: String): String {
        var text = sample
        repeat(random.nextInt(1, 4)) {
            val start = random.nextInt(text.length + 1)
            val end = minOf(text.length, start + random.nextInt(8))
            val odd = if (random.nextInt(500) == 0) NESTED else ODD_TEXTS.random(random)
            text = text.replaceRange(start, end, odd)
        }
        return if (random.nextInt(4) == 0) text.take(random.nextInt(text.length + 1)) else text
    }

    private companion object {
        const val SEED = 37
        const val RUNS = 5_000
        const val STACK_BYTES = 256L * 1_024
        val NESTED = "[".repeat(60_000)
        val ODD_TEXTS = listOf(
            "", "1e999", "9e18", "9223372036854775807", "-1", "0", ":0", ":65536", ":99999999999", "null", "{}", "[]",
            "\"\"", "\" \"", "\u0000", "\r\n", "\\u0000", "\\", "\"", ",", "}", "]", "{\"x\":[[[]]]}", "true", "\uD800",
        )
        val ROWS = listOf(
            """{"version":1,"members":[{"host":"a","incarnation":1,"peerAddress":"127.0.0.1:1"}],"previous":null}""",
            """{"accepted":1,"proposed":2}""",
            """{"incarnation":1,"peerAddress":"127.0.0.1:1","retired":false}""",
            """{"term":1,"claimant":"one","primary":"a"}""",
            """{"rules":"","keys":[{"id":"k","customer":"c","hash":"h"}],"basedOn":0,"author":"a","token":"t"}""",
        )
    }
}
