package dev.cardamomlane.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import java.io.BufferedReader
import java.io.IOException
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.Callable
import kotlin.io.path.bufferedReader

/** Prints the log lines about one request, and the events around it, from the logs of several hosts. */
@Command(
    name = "trace",
    description = ["Prints the log lines about one request and about events around it, ordered by time."],
)
internal class TraceCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Option(
        names = ["--before"],
        paramLabel = "MILLIS",
        defaultValue = "3000",
        description = ["Start this long before the first line about the request. Default: 3000."],
    )
    var beforeMillis: Long = 0

    @Option(
        names = ["--after"],
        paramLabel = "MILLIS",
        defaultValue = "500",
        description = ["End this long after the last line about the request. Default: 500."],
    )
    var afterMillis: Long = 0

    @Parameters(index = "0", paramLabel = "ID")
    lateinit var id: String

    @Parameters(
        index = "1..*",
        arity = "0..*",
        paramLabel = "FILE",
        description = ["Log files of hosts. Default: standard input."],
    )
    var files: List<Path> = emptyList()

    override fun call(): Int {
        if (beforeMillis < 0 || afterMillis < 0) {
            throw CommandFailure(ExitCodes.USAGE, "--before and --after must not be negative.")
        }
        val readers = if (files.isEmpty()) listOf(System.`in`.bufferedReader()) else files.map(::open)
        val trace = RequestTrace.of(id, lines(readers), beforeMillis, afterMillis)
            ?: throw CommandFailure(ExitCodes.REFUSED, "No line tells of request $id. $MISSING_HINT")
        trace.lines.forEach { parent.out.println(if (parent.json) it.json else text(it)) }
        return ExitCodes.OK
    }

    private fun open(file: Path): BufferedReader = try {
        file.bufferedReader()
    } catch (e: IOException) {
        throw CommandFailure(ExitCodes.USAGE, "Log $file cannot be read: ${e.message}")
    }

    private fun lines(readers: List<BufferedReader>): Sequence<LogLine> =
        readers.asSequence().flatMap { it.lineSequence() }.mapNotNull(LogLine::parse)

    private fun text(line: LogLine): String {
        val mark = if (line.isAboutRequest) "*" else " "
        val fields = line.fields.entries.joinToString(" ") { (name, value) -> "$name=${quoted(value)}" }
        return "$mark ${Instant.ofEpochMilli(line.atMillis)} ${line.host} ${line.part} ${line.event} $fields".trimEnd()
    }

    private fun quoted(value: String) = if (' ' in value) "\"$value\"" else value

    private companion object {
        const val MISSING_HINT =
            "Successes are not logged, and failures only up to a rate limit: look for log/dropped lines of that second."
    }
}
