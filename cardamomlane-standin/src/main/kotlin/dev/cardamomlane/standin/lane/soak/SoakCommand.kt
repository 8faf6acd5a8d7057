package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.cases.BackgroundTasks
import dev.cardamomlane.standin.lane.cases.Verdict
import dev.cardamomlane.standin.lane.host.ClockOffsets
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.line.Printable
import dev.cardamomlane.standin.lane.load.KeyTrouble
import dev.cardamomlane.standin.lane.load.OddRows
import dev.cardamomlane.standin.lane.load.OddText
import dev.cardamomlane.standin.lane.record.RunRecord
import dev.cardamomlane.standin.lane.target.LaneTarget
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.io.path.bufferedWriter
import kotlin.random.Random

/**
 * Runs hosts of the deploy file under load while hosts, targets, the store, the promote call, keys and foreign rows are
 * disturbed, and checks what callers were told. A seed gives the same disturbances and operations, but not the same
 * moments, since the processes are real.
 */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = ["Disturbs hosts under load. Exits with 1 if a rule broke, 0 if all held, 2 if it could not run."],
    exitCodeOnExecutionException = 2,
)
internal class SoakCommand : Callable<Int> {
    @Option(names = ["--seed"], required = true, paramLabel = "N")
    private var seed: Long = 0

    @Option(names = ["--seconds"], paramLabel = "S", description = ["how long disturbances go on"], defaultValue = "60")
    private var seconds: Long = 0

    @Option(names = ["--hosts"], paramLabel = "N", description = ["number of hosts"], defaultValue = "6")
    private var hostCount: Int = 0

    @Option(
        names = ["--host-variable"],
        paramLabel = "NAME=VALUE",
        description = ["adds a variable to the hosts' environment; {host} and {dir} stand for their names and folder"],
    )
    private var hostVariables: Map<String, String> = emptyMap()

    @Option(
        names = ["--clocks"],
        description = ["also steps the time of day of hosts, whose clocks must follow the files HOST.clock in DIR"],
    )
    private var hasClocks = false

    @Option(
        names = ["--kinds"],
        split = ",",
        paramLabel = "KIND",
        description = ["draws only these kinds of disturbances: \${COMPLETION-CANDIDATES}"],
    )
    private var kinds: List<DisturbanceKind> = DisturbanceKind.entries

    @Option(names = ["--dir"], required = true, paramLabel = "DIR", description = ["for settings, logs and the record"])
    private lateinit var directory: Path

    /** In every other seed a commit is acknowledged only once a replica has it. */
    private val syncReplicaCount get() = (seed % 2).toInt()

    override fun call(): Int {
        Files.createDirectories(directory)
        val record = RunRecord(directory.resolve("record.txt").bufferedWriter())
        val site = SitePlan.PRESS
        val installation = LaneInstallation(
            site,
            hostCount,
            directory.toAbsolutePath(),
            record,
            hostVariables = hostVariables,
            syncReplicaCount = syncReplicaCount,
            hasSecondGroup = true,
        )
        Runtime.getRuntime().addShutdownHook(Thread(installation::close))
        val verdict = if (installation.start()) run(installation) else Verdict.NotRun("the hosts are not ready")
        record.line("$verdict")
        println("seed $seed: ${Printable.of("$verdict")}")
        return verdict.exitCode
    }

    private fun run(installation: LaneInstallation): Verdict {
        val record = installation.record
        val history = SoakHistory()
        val keyTrouble = KeyTrouble(installation, history.sent).apply { begin() }
        val keys = installation.customers.indices.map(keyTrouble::keyOf)
        beginOddRows(installation)
        lengthenFirstLog(installation)
        val hostNames = installation.hosts.map { it.plan.name }
        val clocks = if (hasClocks) ClockOffsets(installation.directory, hostNames) else null
        val endMillis = record.nowMillis + TimeUnit.SECONDS.toMillis(seconds)
        val areCallersOver = AtomicBoolean()
        BackgroundTasks().use { tasks ->
            val callers = List(hostCount * CALLERS_PER_HOST) { number ->
                val customer = number % keys.size
                val random = Random(seed * SEED_STEP + number)
                val caller = SoakCaller(
                    installation,
                    number,
                    number / CALLERS_PER_HOST,
                    customer,
                    keys[customer],
                    history,
                    random,
                    writesRarely = number % 2 == 1,
                )
                tasks.start { caller.run(areCallersOver::get) }
            }
            val probe = tasks.start { keyTrouble.probe(areCallersOver::get) }
            val watch = tasks.start { SoakWatch(installation, history).run(areCallersOver::get) }
            val occupied = DisturbedParts()
            val disturbers = List(DISTURBERS) { number ->
                val random = Random(seed * SEED_STEP - 1 - number)
                val disturber = Disturber(installation, history, random, clocks, occupied, kinds)
                tasks.start { disturber.run { record.nowMillis > endMillis } }
            }
            awaitAll(disturbers)
            Thread.sleep(SoakChecks.RECOVERY_MILLIS + CALM_MILLIS)
            areCallersOver.set(true)
            awaitAll(callers + probe + watch)
        }
        Thread.sleep(CALM_MILLIS)
        return check(installation, history)
    }

    private fun beginOddRows(installation: LaneInstallation) {
        val random = Random(seed)
        val platform = installation.platform
        val rows = OddRows(random, OddText(random, ODD_SHARE))
        platform.onLoop { platform.groups.forEach { it.answerFaults.rowsOf = rows::of } }
    }

    /** Positions in the first group's log are then beyond the end of the second one's, to which routes are moved. */
    private fun lengthenFirstLog(installation: LaneInstallation) = installation.platform.onLoop {
        val primary = checkNotNull(installation.platform.group.primary())
        repeat(FIRST_COMMITS) { primary.commit("first-$it", emptyMap()) {} }
    }

    private fun awaitAll(tasks: List<Future<*>>) = tasks.forEach {
        it.get(END_TIMEOUT_SECONDS + seconds, TimeUnit.SECONDS)
    }

    private fun check(installation: LaneInstallation, history: SoakHistory): Verdict {
        val platform = installation.platform
        val primaries = platform.onLoop { platform.groups.mapNotNull { it.primary() } }
        if (primaries.size < platform.groups.size) return Verdict.NotRun("no target leads a group at the end")
        val checks = platform.onLoop { checks(installation, history, primaries) }
        val findings = platform.onLoop(checks::findings) + kept(installation)
        val statements = history.statements()
        val doneCount = statements.count { it.answer.isDone }
        if (doneCount == 0) return Verdict.NotRun("no statement succeeded")
        val kinds = history.disturbances().groupingBy { it.kind }.eachCount()
        val summary = "$doneCount of ${statements.size} statements done, ${history.commits().size} commits " +
            "acknowledged, " +
            "${statements.count { platform.history.readsOf(it.answer.statementId).isNotEmpty() }} reads run, " +
            "${checks.routeSummary()}, " +
            "${kinds.values.sum()} disturbances $kinds, " +
            "answers sent again ${platform.group.answerFaults.repeats}, errors made ${platform.group.answerFaults.errors}"
        return Verdict.of(findings.isNotEmpty(), (findings + summary).joinToString("; "))
    }

    /** No caller is connected any more, so that every route's timeout and the longest pause in a transaction end in time. */
    private fun kept(installation: LaneInstallation): List<String> =
        HeldAtEnd { installation.hosts.associate { it.plan.name to it.metrics() } }
            .kept(HELD_LOOKS) { Thread.sleep(HELD_PAUSE_MILLIS) }
            .map { "$it though no caller is left" }

    private fun checks(installation: LaneInstallation, history: SoakHistory, primaries: List<LaneTarget>) = SoakChecks(
        history,
        installation.platform.history,
        primaries.map(LaneTarget::log),
        installation.platform.operator.published,
        installation.customers.associate { it.name to it.keys },
        installation.customers.first().ratePerSecond,
        isAcknowledgedByReplica = syncReplicaCount > 0,
    )

    private companion object {
        const val CALLERS_PER_HOST = 3
        const val DISTURBERS = 3
        const val HELD_LOOKS = 8
        const val HELD_PAUSE_MILLIS = 1_000L
        const val SEED_STEP = 1_000L
        const val ODD_SHARE = 0.2
        const val FIRST_COMMITS = 1_000

        /** How long callers go on once the hosts had time to recover, and replicas settle after that. */
        const val CALM_MILLIS = 3_000L
        const val END_TIMEOUT_SECONDS = 60L
    }
}
