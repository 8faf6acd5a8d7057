package dev.cardamomlane.bench.fleet

import picocli.CommandLine.Command
import picocli.CommandLine.Option

/**
 * Measures what fleet control costs each host. Runs only the fleet state machines, in simulated time.
 *
 * Bytes are those of the encoded messages that a host sends, with their length prefixes; it receives as many. The
 * contents of revisions are not counted.
 */
@Command(name = "control", mixinStandardHelpOptions = true, description = ["Control cost per host by fleet size."])
internal class ControlCommand : Runnable {
    @Option(names = ["--seconds"], description = ["Simulated seconds of each run"])
    private var seconds = 60L

    @Option(names = ["--sizes"], split = ",", description = ["Fleet sizes"])
    private var sizes = listOf(2, 4, 8, 16, 64, 512)

    override fun run() {
        println("per host and second, $seconds simulated seconds; reads and writes are of the whole fleet")
        println(
            "%6s %10s %10s %10s %10s %8s %8s %8s %9s".format(
                "hosts",
                "change",
                "messages",
                "bytes",
                "cpu us",
                "reads/s",
                "scans/s",
                "writes/s",
                "standing",
            ),
        )
        for (size in sizes) {
            for (changeMillis in listOf(null, CHANGE_MILLIS)) printRow(size, changeMillis)
        }
    }

    private fun printRow(size: Int, changeMillis: Long?) {
        val fleet = SimulatedFleet(size)
        fleet.run(WARMUP_MILLIS, changeMillis)
        fleet.cost.reset()
        fleet.run(seconds * MILLIS_PER_SECOND, changeMillis)
        val cost = fleet.cost
        val perHost = size * seconds.toDouble()
        println(
            "%6d %10s %10.1f %10.0f %10.1f %8.1f %8.1f %8.1f %9d".format(
                size,
                if (changeMillis == null) "none" else "every 4 s",
                cost.messages / perHost,
                cost.bytes / perHost,
                cost.cpuNanos / NANOS_PER_MICRO / perHost,
                cost.reads / seconds.toDouble(),
                cost.leaseScans / seconds.toDouble(),
                cost.writes / seconds.toDouble(),
                fleet.inStandingCount(),
            ),
        )
    }

    private companion object {
        const val CHANGE_MILLIS = 4_000L
        const val WARMUP_MILLIS = 30_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val NANOS_PER_MICRO = 1_000.0
    }
}
