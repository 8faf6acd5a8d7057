package dev.cardamomlane.standin.lane.host

import dev.cardamomlane.standin.lane.record.RunRecord
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** The processes of all hosts of a run. [close] ends them. */
internal class HostFleet(
    plans: List<HostPlan>,
    settings: HostSettingsFile,
    command: List<String>,
    directory: Path,
    private val record: RunRecord,
    variables: Map<String, String> = emptyMap(),
) : AutoCloseable {
    val hosts: List<HostProcess> =
        plans.map { HostProcess(it, settings, command, directory, record, variables) }

    /** Returns the host called [name]. Throws [IllegalArgumentException] if there is none. */
    fun find(name: String): HostProcess =
        requireNotNull(hosts.find { it.plan.name == name }) { "no host is called \"$name\"" }

    fun startAll() = hosts.forEach(HostProcess::start)

    /** Blocks until all hosts are ready. Returns false if that takes longer than [timeoutMillis]. */
    fun awaitReady(timeoutMillis: Long): Boolean {
        val startNanos = System.nanoTime()
        while (!hosts.all(HostProcess::isReady)) {
            if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) > timeoutMillis) return false
            Thread.sleep(POLL_MILLIS)
        }
        record.line("all hosts are ready")
        return true
    }

    override fun close() {
        hosts.forEach(HostProcess::end)
    }

    companion object {
        private const val POLL_MILLIS = 200L

        /** Plans [count] hosts on [network], with the same ports on each. Hosts of one zone are counted up from 1. */
        fun plan(site: SitePlan, count: Int, network: LoopbackNetwork): List<HostPlan> {
            require(count > 0) { "count must be positive but was $count" }
            val zones = List(count) { site.hostZones[it % site.hostZones.size] }
            val addresses = zones.map { network.nextAddress() }
            val ports = generateSequence { network.freePort(addresses) }.distinct().take(PORT_COUNT).toList()
            return zones.mapIndexed { index, zone ->
                HostPlan(
                    name = "front-$zone-${zones.take(index + 1).count { it == zone }}",
                    availabilityZone = zone,
                    address = addresses[index],
                    callerPort = ports[0],
                    readyPort = ports[1],
                    controlPort = ports[2],
                    peerPorts = ports[3]..ports[3] + PEER_PORT_COUNT,
                )
            }
        }

        private const val PORT_COUNT = 4
        private const val PEER_PORT_COUNT = 15
    }
}
