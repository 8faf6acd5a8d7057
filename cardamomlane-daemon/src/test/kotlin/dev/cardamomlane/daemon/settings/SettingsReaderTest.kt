package dev.cardamomlane.daemon.settings

import arrow.core.Either
import dev.cardamomlane.core.TargetId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SettingsReaderTest {
    private val valid = """
        host:
          name: host-1
          availabilityZone: kranj
          callerAddress: 127.0.0.1:6432
          peerAddress: 127.0.0.1:7432
          adminAddress: 127.0.0.1:8432
        fleet: { secret: s, heartbeatMillis: 250 }
        platform:
          endpoint: http://127.0.0.1:9000
          table: cardamomlane
          region: local
          accessKey: a
          secretKey: b
          hostListUrl: http://127.0.0.1:9000/hosts
        targetUser: { name: cardamomlane, password: p }
        callers: { allowPlaintextKeys: true }
        databases:
          - name: orders-1
            targets:
              - { name: orders-1-a, availabilityZone: kranj, address: "127.0.0.1:15432", slots: 5, connections: 35 }
    """.trimIndent()

    private fun findings(text: String): List<String> =
        assertIs<Either.Left<List<Any>>>(SettingsReader.read("lane.yaml", text)).value.map { it.toString() }

    @Test
    fun `reads a whole file`() {
        val settings = assertIs<Either.Right<Settings>>(SettingsReader.read("lane.yaml", valid)).value

        assertEquals(TargetId("orders-1-a"), settings.databases.single().targets.single().name)
        assertEquals(TraceMode.OFF, settings.trace.mode)
    }

    private class Defect(val good: String, val bad: String, val finding: String)

    private val defects = listOf(
        Defect("name: host-1", "nam: host-1", "2:3: missing key host.name"),
        Defect(
            good = "callerAddress: 127.0.0.1:6432",
            bad = "callerAddress: localhost:6432",
            finding = "4:18: host.callerAddress must be an IP address and a port but is \"localhost:6432\"",
        ),
        Defect(
            good = "heartbeatMillis: 250",
            bad = "heartbeatMillis: 250ms",
            finding = "7:38: fleet.heartbeatMillis must be a whole number from 50 to 1000 but is \"250ms\"",
        ),
        Defect(
            good = "endpoint: http://127.0.0.1:9000",
            bad = "endpoint: here",
            finding = "9:13: platform.endpoint must be an http or https address but is \"here\"",
        ),
        Defect(
            good = "allowPlaintextKeys: true",
            bad = "allowPlaintextKeys: maybe",
            finding = "16:32: callers.allowPlaintextKeys must be true or false but is \"maybe\"",
        ),
        Defect(
            good = "endpoint: http://127.0.0.1:9000",
            bad = "endpoint: http://127.0.0.1:99999",
            finding = "9:13: platform.endpoint must be an http or https address but is \"http://127.0.0.1:99999\"",
        ),
        Defect(
            good = "endpoint: http://127.0.0.1:9000",
            bad = "endpoint: http://127.0.0.1:0",
            finding = "9:13: platform.endpoint must be an http or https address but is \"http://127.0.0.1:0\"",
        ),
        Defect(
            good = "name: orders-1\n",
            bad = "name: \"orders\\r\\n1\"\n",
            finding = "18:11: databases[0].name must not contain control characters",
        ),
        Defect(
            good = "password: p",
            bad = "password: \"p\\0\"",
            finding = "15:45: targetUser.password must not contain control characters",
        ),
        Defect(
            good = "callerAddress: 127.0.0.1:6432",
            bad = "callerAddress: 127.0.0.1:65536",
            finding = "4:18: host.callerAddress must be an IP address and a port but is \"127.0.0.1:65536\"",
        ),
        Defect(
            good = "heartbeatMillis: 250",
            bad = "heartbeatMillis: 99999999999",
            finding = "7:38: fleet.heartbeatMillis must be a whole number from 50 to 1000 but is \"99999999999\"",
        ),
        Defect("slots: 5", "slot: 5", "20:82: unknown key databases[0].targets[0].slot"),
    )

    @TestFactory
    fun `reports a defect with its line and column`(): List<DynamicTest> = defects.map {
        DynamicTest.dynamicTest(it.bad) {
            val found = findings(valid.replace(it.good, it.bad))
            assertTrue("lane.yaml:${it.finding}" in found, "found: $found")
        }
    }

    @Test
    fun `reports all defects together`() {
        val text = valid
            .replace("name: host-1", "name: ''")
            .replace("slots: 5", "slots: 0")
            .replace("region: local", "zone: x")

        assertEquals(4, findings(text).size, findings(text).toString())
    }

    @Test
    fun `reports a name given twice`() {
        val found = findings(valid.replace("name: orders-1-a", "name: orders-1"))

        assertEquals(listOf("lane.yaml:18:3: databases hold the name \"orders-1\" more than once"), found)
    }

    @Test
    fun `reports broken YAML as one finding`() {
        assertEquals(1, findings("host: [").size)
    }

    // These ended the daemon with a stack trace that names neither file nor line.
    @TestFactory
    fun `reports a file that the parser can't read as one finding`(): List<DynamicTest> = listOf(
        "deeply nested lists" to "host: " + "[".repeat(60_000),
        "deeply nested sections" to "{host: ".repeat(60_000),
        "a control character" to "host: \u0007",
        "a zero character" to "host: \u0000",
        "two documents" to "--- a\n--- b",
        "another version of YAML" to "%YAML 9.9\n---\nhost: a",
        "an empty file" to "",
    ).map { (name, text) ->
        DynamicTest.dynamicTest(name) { assertEquals(1, findings(text).size, findings(text).toString()) }
    }
}
