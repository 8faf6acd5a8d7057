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

/**
 * Emulates all targets of all database groups and the platform in one process, for trials and tests.
 *
 * @param random generates the secret keys of cancel requests
 */
public class Standin(settings: StandinSettings, random: Random = Random.Default) : AutoCloseable {
    // Runs work that takes no slot of a target, such as control functions, transaction commands and admin calls.
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

    /** The number of emulated targets. */
    public val targetCount: Int get() = servers.size

    /** The address of the table and of the host list as `host:port`. Valid after [start]. */
    public val platformAddress: String get() = platform.address.toString()

    /** The address of the admin endpoint as `host:port`. Valid after [start]. */
    public val adminAddress: String get() = admin.address.toString()

    /** Starts all servers. Blocks until every address accepts connections and the initial data are loaded. */
    public fun start() {
        rows.forEach { platform.table.seed(it.key, it.value) }
        groups.forEach(DatabaseGroup::start)
        servers.forEach(TargetServer::start)
        platform.start()
        admin.start()
    }

    /** Returns the address of target [name] as `host:port`. Throws [IllegalArgumentException] if it does not exist. */
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
