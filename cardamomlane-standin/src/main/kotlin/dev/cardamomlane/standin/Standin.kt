package dev.cardamomlane.standin

import dev.cardamomlane.standin.admin.AdminServer
import dev.cardamomlane.standin.platform.HostListService
import dev.cardamomlane.standin.platform.PlatformFaults
import dev.cardamomlane.standin.platform.PlatformServer
import dev.cardamomlane.standin.platform.TableService
import dev.cardamomlane.standin.session.TargetServer
import dev.cardamomlane.standin.settings.SocketAddress
import dev.cardamomlane.standin.settings.StandinSettings
import dev.cardamomlane.standin.target.DatabaseGroup
import reactor.core.scheduler.Schedulers
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import kotlin.random.Random

/** Everything that one process plays: all targets of all database groups, and the platform. */
public class Standin(settings: StandinSettings, random: Random = Random.Default) : AutoCloseable {
    private val slotlessExecutor: ExecutorService = Executors.newFixedThreadPool(SLOTLESS_THREADS) { work ->
        Thread(work, "slotless").apply { isDaemon = true }
    }
    internal val groups: List<DatabaseGroup> = settings.databases.map(::DatabaseGroup)
    private val servers: List<TargetServer> =
        groups.flatMap { group -> group.targets.map { TargetServer(it, slotlessExecutor, random) } }
    private val platform = PlatformServer(
        configuredAddress = SocketAddress.parse(settings.platformAddress),
        table = TableService(settings.table),
        hosts = HostListService(settings.hosts, settings.hostListLagMillis),
        faults = PlatformFaults(),
    )
    private val rows = settings.rows
    private val admin =
        AdminServer(
            SocketAddress.parse(settings.adminAddress),
            servers,
            platform,
            Schedulers.fromExecutor(slotlessExecutor),
        )

    /** How many targets are played. */
    public val targetCount: Int get() = servers.size

    /** Where the table and the host list are served, as `host:port`. */
    public val platformAddress: String get() = platform.address.toString()

    /** Where faults are switched, as `host:port`. */
    public val adminAddress: String get() = admin.address.toString()

    /** Starts to serve. Returns when every address accepts connections and the initial data are there. */
    public fun start() {
        rows.forEach { platform.table.seed(it.key, it.value) }
        groups.forEach(DatabaseGroup::start)
        servers.forEach(TargetServer::start)
        platform.start()
        admin.start()
    }

    /** The address of the target called [name] as `host:port`. */
    public fun addressOf(name: String): String =
        requireNotNull(server(name)) { "no target is called \"$name\"" }.address.toString()

    internal fun server(name: String): TargetServer? = servers.find { it.target.name == name }

    override fun close() {
        admin.close()
        platform.close()
        servers.forEach(TargetServer::close)
        groups.forEach(DatabaseGroup::close)
    }

    private companion object {
        const val SLOTLESS_THREADS = 16
    }
}
