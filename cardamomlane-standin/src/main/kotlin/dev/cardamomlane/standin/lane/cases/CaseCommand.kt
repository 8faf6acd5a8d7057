package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.record.RunRecord
import org.tinylog.kotlin.Logger
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.bufferedWriter
import kotlin.io.path.deleteRecursively

/** Runs one case of the review in the working directory, which must hold the deploy file and the built program. */
@Command(
    name = "case",
    mixinStandardHelpOptions = true,
    description = ["Runs a case of the review. Exits with 1 if the rule broke, 0 if it held, 2 if it could not run."],
    exitCodeOnExecutionException = 2,
)
internal class CaseCommand : Callable<Int> {
    @Parameters(paramLabel = "CASE", description = ["\${COMPLETION-CANDIDATES}"])
    private lateinit var name: CaseName

    @Option(names = ["--record"], required = true, paramLabel = "FILE", description = ["what was sent and run"])
    private lateinit var recordFile: Path

    @Option(names = ["--without-trouble"], description = ["leaves the disruption out"])
    private var isWithoutTrouble = false

    @Option(names = ["--seed"], paramLabel = "N", description = ["of a case that makes choices"], defaultValue = "1")
    private var seed: Long = 0

    @Option(names = ["--hosts"], paramLabel = "N", description = ["number of hosts; by default that of the case"])
    private var hostCount: Int? = null

    @Option(
        names = ["--host-variable"],
        paramLabel = "NAME=VALUE",
        description = ["adds a variable to the hosts' environment; {host} and {dir} stand for their names and folder"],
    )
    private var hostVariables: Map<String, String> = emptyMap()

    @Option(names = ["--logs"], paramLabel = "DIR", description = ["keeps settings and logs of the hosts in DIR"])
    private var logs: Path? = null

    override fun call(): Int {
        val record = RunRecord(recordFile.bufferedWriter())
        val verdict = run(record)
        record.line("$verdict")
        println(verdict)
        return verdict.exitCode
    }

    private fun run(record: RunRecord): Verdict {
        val case = name.create(seed)
        val directory = logs?.let(Files::createDirectories) ?: Files.createTempDirectory("cardamomlane-case")
        val installation = LaneInstallation(
            case.site,
            hostCount ?: case.site.hostZones.size,
            directory.toAbsolutePath(),
            record,
            hostVariables = hostVariables,
        )
        val stopper = Thread { end(installation, directory) }
        Runtime.getRuntime().addShutdownHook(stopper)
        return await { play(case, installation) }
    }

    private fun play(case: ReviewCase, installation: LaneInstallation): Verdict {
        if (!installation.start()) return Verdict.NotRun("the hosts are not ready")
        Thread.sleep(SETTLE_MILLIS)
        return case.run(installation, hasTrouble = !isWithoutTrouble)
    }

    /** Returns the result of [play], or that it could not run if it fails or takes too long. */
    private fun await(play: () -> Verdict): Verdict {
        val thread = Executors.newSingleThreadExecutor { Thread(it, "case").apply { isDaemon = true } }
        return try {
            thread.submit(Callable(play)).get(LIMIT_SECONDS, TimeUnit.SECONDS)
        } catch (_: TimeoutException) {
            Verdict.NotRun("it took too long")
        } catch (e: ExecutionException) {
            Logger.error(e, "case: failed")
            Verdict.NotRun("${e.cause}")
        }
    }

    @OptIn(ExperimentalPathApi::class)
    private fun end(installation: LaneInstallation, directory: Path) {
        installation.close()
        if (logs == null) directory.deleteRecursively()
    }

    private companion object {
        const val SETTLE_MILLIS = 2_000L
        const val LIMIT_SECONDS = 114L
    }
}
