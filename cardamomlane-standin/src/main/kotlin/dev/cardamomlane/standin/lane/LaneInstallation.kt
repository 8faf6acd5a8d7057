package dev.cardamomlane.standin.lane

import dev.cardamomlane.standin.lane.admin.LaneAdminServer
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.caller.StatementIds
import dev.cardamomlane.standin.lane.host.DeployCommand
import dev.cardamomlane.standin.lane.host.HostFleet
import dev.cardamomlane.standin.lane.host.HostProcess
import dev.cardamomlane.standin.lane.host.HostSettingsFile
import dev.cardamomlane.standin.lane.host.LoopbackNetwork
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.record.RunRecord
import java.nio.file.Path

/**
 * The stand-ins of the platform and the hosts of the deploy file, which run in the working directory.
 *
 * [close] ends the hosts and the stand-ins, but not [record].
 *
 * @param directory for the settings and logs of the hosts
 * @param syncReplicaCount how many replicas must have a commit before it is acknowledged
 * @param hasSecondGroup whether there is a second database group, to which routes can be moved
 * @param hostVariables further variables of the hosts' environment, see [HostProcess]
 */
internal class LaneInstallation(
    val site: SitePlan,
    hostCount: Int,
    val directory: Path,
    val record: RunRecord,
    customerCount: Int = 8,
    ratePerSecond: Int = 83,
    deployFile: Path = Path.of("deploy/system.toml"),
    hostVariables: Map<String, String> = emptyMap(),
    syncReplicaCount: Int = 0,
    hasSecondGroup: Boolean = false,
) : AutoCloseable {
    private val network = LoopbackNetwork.pick()

    /** Gives the statements of all callers their ids. */
    val ids = StatementIds()
    val platform = LanePlatform(site, network, customerCount, ratePerSecond, record, syncReplicaCount, hasSecondGroup)
    val fleet: HostFleet
    val admin = LaneAdminServer(network.nextSocketAddress(), installation = this)

    init {
        val plans = HostFleet.plan(site, hostCount, network)
        val settings = HostSettingsFile(
            store = platform.storeServer.address,
            promotion = platform.promotionServer.address,
            site = site,
            hosts = plans,
        )
        fleet = HostFleet(plans, settings, DeployCommand.read(deployFile), directory, record, hostVariables)
    }

    val hosts: List<HostProcess> get() = fleet.hosts
    val customers: List<OperatorConfig.Customer> get() = platform.operator.config.customers

    /** Starts everything. Blocks until all hosts are ready; returns false if that takes longer than [timeoutMillis]. */
    fun start(timeoutMillis: Long = 40_000): Boolean {
        platform.start()
        admin.start()
        fleet.startAll()
        return fleet.awaitReady(timeoutMillis)
    }

    /** Opens a session of customer number [customer] at host number [host]. Throws IOException if it can't connect. */
    fun connect(
        name: String,
        host: Int,
        customer: Int,
        database: String = OperatorConfig.CURRENT_DATABASE,
        key: String = customers[customer % customers.size].keys.first(),
        readBytesPerMilli: Int? = null,
    ): CallerSession = CallerSession(
        name,
        hosts[host].plan.callerAddress,
        database,
        key,
        ids,
        record,
        readBytesPerMilli = readBytesPerMilli,
    )

    /** Publishes the next configuration, in which customer number [customer] has only [keys]. */
    fun setKeys(customer: Int, keys: List<String>) {
        publish { it.withKeys(customers[customer].name, keys) }
    }

    /** Publishes the next configuration, in which [change] gives the routes, and returns it. */
    fun changeRoutes(change: (List<OperatorConfig.Route>) -> List<OperatorConfig.Route>): OperatorConfig =
        publish { it.withRoutes(change(it.routes)) }

    private fun publish(change: (OperatorConfig) -> OperatorConfig): OperatorConfig {
        val next = platform.onLoop { change(platform.operator.config).also(platform.operator::publish) }
        record.line("configuration ${next.revision} is acknowledged")
        return next
    }

    override fun close() {
        fleet.close()
        admin.close()
        platform.close()
    }
}
