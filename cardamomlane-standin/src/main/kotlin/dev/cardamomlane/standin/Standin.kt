package dev.cardamomlane.standin

import dev.cardamomlane.standin.session.TargetServer
import dev.cardamomlane.standin.settings.StandinSettings
import dev.cardamomlane.standin.target.DatabaseGroup
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import kotlin.random.Random

/** Everything that one process plays: all targets of all database groups, and the platform. */
public class Standin(settings: StandinSettings, random: Random = Random.Default) : AutoCloseable {
    private val light: ExecutorService = Executors.newFixedThreadPool(LIGHT_THREADS) { work ->
        Thread(work, "light").apply { isDaemon = true }
    }
    internal val groups: List<DatabaseGroup> = settings.databases.map(::DatabaseGroup)
    internal val servers: List<TargetServer> =
        groups.flatMap { group -> group.targets.map { TargetServer(it, light, random) } }

    /** How many targets are played. */
    public val targetCount: Int get() = servers.size

    /** Starts to serve. Returns when every address accepts connections and the initial data are there. */
    public fun start() {
        groups.forEach(DatabaseGroup::start)
        servers.forEach(TargetServer::start)
    }

    /** The address of the target called [name] as `host:port`. */
    public fun addressOf(name: String): String = server(name)?.address.toString()

    internal fun server(name: String): TargetServer? = servers.find { it.target.name == name }

    override fun close() {
        servers.forEach(TargetServer::close)
        groups.forEach(DatabaseGroup::close)
    }

    private companion object {
        const val LIGHT_THREADS = 16
    }
}
