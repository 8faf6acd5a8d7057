package dev.cardamomlane.cli

import org.junit.jupiter.api.io.TempDir
import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class LaneCtlTest {
    @TempDir
    lateinit var directory: Path

    private val out = StringWriter()
    private val err = StringWriter()

    @Test
    fun `check prints every finding and exits with 1`() {
        val file = file("a.rules", "rule a : class=0 # x\nrule b class=1 # x\n")

        assertEquals(ExitCodes.REFUSED, run("check", file))
        assertContains(err.toString(), "$file:1:16: ")
        assertContains(err.toString(), "$file:2:8: ")
    }

    @Test
    fun `explain names the rule that applies and says why the others do not`() {
        val file =
            file(
                "a.rules",
                "rule r statement=read table=t : class=3 age=1s # x\nrule w statement=write : class=4 # x\n",
            )

        assertEquals(ExitCodes.OK, run("--json", "explain", "--rules", file, "--database", "d", "SELECT * FROM t"))
        assertContains(out.toString(), "\"rule\":\"r\"")
        assertContains(out.toString(), "{\"rule\":\"w\",\"mismatch\":\"the statement is a read\"}")
    }

    @Test
    fun `wrong usage and wrong settings exit with 2`() {
        assertEquals(ExitCodes.USAGE, run("status"))
        assertEquals(ExitCodes.USAGE, run("no-such-command"))
        assertEquals(ExitCodes.USAGE, run("--settings", file("a.yaml", "platform: { endpoint: 3 }"), "status"))
        assertContains(err.toString(), "a.yaml: missing: table, region, accessKey, secretKey, hostListUrl")
        assertEquals(ExitCodes.USAGE, run("--settings", file("b.yaml", "platform: ["), "status"))
        assertContains(err.toString(), "b.yaml:1:")
        assertEquals(ExitCodes.USAGE, run("--settings", directory.resolve("none.yaml").toString(), "status"))
    }

    @Test
    fun `a diff counts repeated lines and ignores blank lines`() {
        assertEquals(listOf("- b", "+ c", "+ a"), LineDiff.between("a\nb", "c\na\n\na"))
    }

    private fun file(name: String, text: String) = directory.resolve(name).apply { writeText(text) }.toString()

    private fun run(vararg args: String): Int =
        LaneCtl.run(arrayOf(*args), PrintWriter(out, true), PrintWriter(err, true))
}
