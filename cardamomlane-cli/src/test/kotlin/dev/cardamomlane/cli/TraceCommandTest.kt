package dev.cardamomlane.cli

import org.junit.jupiter.api.io.TempDir
import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** Traces of the three kinds of failed request in docs/OPERATIONS.md, and lines that do not belong in them. */
class TraceCommandTest {
    @TempDir
    lateinit var directory: Path

    private val out = StringWriter()
    private val err = StringWriter()

    @Test
    fun `the trace of a write with unknown outcome holds the takeover of its group by another host`() {
        val a = log(
            "a.log",
            line(1_000, "a", "target", "unreachable", "target" to "t1", "group" to "g", "reason" to "no answer"),
            line(2_000, "a", "request", "failed", "id" to "w1", "group" to "g", "code" to "OUTCOME_UNKNOWN"),
        )
        val b = log(
            "b.log",
            line(1_500, "b", "takeover", "claim", "group" to "g", "reason" to "primary does not answer"),
            line(1_100, "b", "group", "target_listed", "group" to "g", "target" to "t4"),
            line(1_500, "b", "takeover", "claim", "group" to "other", "reason" to "primary does not answer"),
        )

        assertEquals(ExitCodes.OK, run("trace", "w1", a, b))
        assertEquals(listOf("unreachable", "claim", "failed"), events())
        assertContains(out.toString(), "reason=\"primary does not answer\"")
        assertFalse("other" in out.toString())
    }

    @Test
    fun `the trace of a refusal within the rate holds the restart of its host and the change of members`() {
        val file = log(
            "a.log",
            line(3_000, "a", "request", "failed", "id" to "r1", "group" to "g", "code" to "BUSY", "reason" to "rate"),
            line(1_000, "a", "host", "started", "incarnation" to "7"),
            line(1_800, "a", "fleet", "members_changed", "count" to "6"),
            line(1_900, "b", "fleet", "members_changed", "count" to "6"),
        )

        assertEquals(ExitCodes.OK, run("trace", "r1", file))
        assertEquals(listOf("started", "members_changed", "failed"), events())
    }

    @Test
    fun `the trace of a slow read holds the lagging replicas and the unreachable target`() {
        val file = log(
            "a.log",
            line(1_000, "a", "request", "not_run", "id" to "s1", "target" to "t2", "code" to "LAGGING"),
            line(1_010, "a", "request", "not_run", "id" to "s2", "target" to "t2", "code" to "LAGGING"),
            line(1_100, "a", "target", "unreachable", "target" to "t2", "reason" to "no answer"),
            line(1_200, "a", "request", "hedged", "id" to "s1", "target" to "t3", "after_ms" to "180"),
        )

        assertEquals(ExitCodes.OK, run("trace", "s1", file))
        assertEquals(listOf("not_run", "unreachable", "hedged"), events())
    }

    @Test
    fun `lines long before and after the request are left out`() {
        val file = log(
            "a.log",
            line(1_000, "a", "host", "started"),
            line(9_000, "a", "request", "failed", "id" to "r1"),
            line(9_900, "a", "store", "lost"),
        )

        assertEquals(ExitCodes.OK, run("trace", "--before", "5000", "--after", "100", "r1", file))
        assertEquals(listOf("failed"), events())
    }

    @Test
    fun `text before the JSON object and lines of other programs are ignored`() {
        val file = log(
            "a.log",
            "   4.37 front-1 " + line(1_000, "a", "request", "failed", "id" to "r1"),
            "java.io.IOException: Connection timed out",
            "{\"unfinished\":",
            "{\"atMillis\":\"soon\",\"host\":\"a\"}",
        )

        assertEquals(ExitCodes.OK, run("trace", "r1", file))
        assertEquals(listOf("failed"), events())
    }

    @Test
    fun `an unknown request exits with 1 and a hint, a missing file or a negative time with 2`() {
        assertEquals(ExitCodes.REFUSED, run("trace", "none", log("a.log", line(1, "a", "host", "started"))))
        assertContains(err.toString(), "No line tells of request none.")
        assertEquals(ExitCodes.USAGE, run("trace", "r1", directory.resolve("none.log").toString()))
        assertEquals(ExitCodes.USAGE, run("trace", "--before", "-1", "r1"))
    }

    @Test
    fun `prints JSON for scripts`() {
        val file = log("a.log", line(1_000, "a", "request", "failed", "id" to "r1", "code" to "BUSY"))

        assertEquals(ExitCodes.OK, run("--json", "trace", "r1", file))
        assertEquals(line(1_000, "a", "request", "failed", "id" to "r1", "code" to "BUSY"), out.toString().trim())
    }

    private fun events() = out.toString().trim().lines().map { it.trimStart('*', ' ').split(' ')[EVENT_WORD_INDEX] }

    private fun line(atMillis: Long, host: String, part: String, event: String, vararg fields: Pair<String, String>) =
        """{"atMillis":$atMillis,"host":"$host","part":"$part","event":"$event"""" +
            fields.joinToString("") { (name, value) -> ""","$name":"$value"""" } + "}"

    private fun log(name: String, vararg lines: String) =
        directory.resolve(name).apply { writeText(lines.joinToString("\n")) }.toString()

    private fun run(vararg args: String): Int =
        LaneCtl.run(arrayOf(*args), PrintWriter(out, true), PrintWriter(err, true))

    private companion object {
        const val EVENT_WORD_INDEX = 3
    }
}
