package dev.cardamomlane.cli

import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.HostId
import dev.cardamomlane.store.HostState
import dev.cardamomlane.store.ListedHost
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertNull

class OddInputTest {
    // One deeply nested line ended the command that reads the logs of all hosts.
    @Test
    fun `a log line that is nested too deeply is no line of a daemon`() {
        assertNull(LogLine.parse("""{"atMillis":1,"host":"h","part":"p","event":"e","x":${"[".repeat(60_000)}"""))
    }

    // One odd address in the list of hosts ended the command that shows all of them.
    @TestFactory
    fun `a host with an odd address has no status`() =
        listOf("127.0.0.1:99999", "127.0.0.1:0", "", " ", "\r\n", "[", "a:b:c").map { address ->
            DynamicTest.dynamicTest("address \"${address.trim()}\"") {
                val listed =
                    ListedHost(HostId("h"), AvailabilityZone("a"), "127.0.0.1:1", address, HostState.LIVE)
                assertNull(StatusClient().fetchAll(listOf(listed)).single().report)
            }
        }
}
