package dev.cardamomlane.cli

import dev.cardamomlane.store.PlatformUnavailableException
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.ScopeType
import picocli.CommandLine.Spec
import java.io.PrintWriter
import java.nio.file.Path

/** The `lanectl` command. Every subcommand accepts its options. */
@Command(
    name = "lanectl",
    mixinStandardHelpOptions = true,
    description = ["Operates a fleet of cardamomlane hosts."],
    subcommands = [
        CheckCommand::class, DiffCommand::class, ApplyCommand::class, ShowCommand::class, StatusCommand::class,
        ExplainCommand::class, KeyCommand::class, HostCommand::class, TraceCommand::class, VersionCommand::class,
    ],
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = [
        "0:done", "1:findings, a difference, a conflict, or something that does not exist", "2:wrong usage or settings",
        "3:the platform gave no answer", "4:written, but not in force on every live host in time",
    ],
)
internal class LaneCtl : Runnable {
    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        scope = ScopeType.INHERIT,
        description = ["YAML file with a platform block, as in the settings of the daemon."],
    )
    var settingsFile: Path? = null

    @Option(names = ["--json"], scope = ScopeType.INHERIT, description = ["Print JSON for scripts."])
    var json: Boolean = false

    @Spec
    lateinit var spec: CommandSpec

    val out: PrintWriter get() = spec.commandLine().out

    override fun run(): Unit = throw ParameterException(spec.commandLine(), "A subcommand is missing.")

    /** Runs [use] with a connection and closes it afterwards. Without `--settings` it ends the command. */
    fun <T> withConnection(use: (Connection) -> T): T {
        val file = settingsFile ?: throw CommandFailure(ExitCodes.USAGE, "This command needs --settings FILE.")
        return Connection(ToolSettings.read(file)).use(use)
    }

    companion object {
        /** Runs one command line and returns its exit code, see [ExitCodes]. */
        fun run(
            args: Array<String>,
            out: PrintWriter = PrintWriter(System.out, true),
            err: PrintWriter = PrintWriter(System.err, true),
        ): Int = CommandLine(LaneCtl())
            .setOut(out)
            .setErr(err)
            .setExecutionExceptionHandler { error, commandLine, _ -> report(error, commandLine) }
            .execute(*args)

        private fun report(error: Exception, commandLine: CommandLine): Int = when (error) {
            is CommandFailure -> {
                commandLine.err.println(error.message)
                error.exitCode
            }
            is PlatformUnavailableException -> {
                commandLine.err.println(
                    "The platform gave no answer (${error.message}). Look at lanectl status, then try again.",
                )
                ExitCodes.UNAVAILABLE
            }
            else -> throw error
        }
    }
}
