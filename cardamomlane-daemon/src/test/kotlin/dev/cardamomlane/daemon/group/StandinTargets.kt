package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.standin.Standin
import dev.cardamomlane.standin.settings.DatabaseSettings
import dev.cardamomlane.standin.settings.StandinSettings
import dev.cardamomlane.standin.settings.TargetSettings
import dev.cardamomlane.wire.NettySessionOpener
import dev.cardamomlane.wire.OpenRequest
import io.netty.channel.EventLoop
import kotlinx.collections.immutable.persistentMapOf
import reactor.core.scheduler.Scheduler
import reactor.core.scheduler.Schedulers
import reactor.netty.resources.LoopResources
import java.net.InetSocketAddress

/** A group of three stand-in targets, and an event loop for the connections to them. */
internal class StandinTargets : AutoCloseable {
    private val loops = LoopResources.create("test", 1, 1, true)
    val loop: EventLoop = loops.onServer(true).next() as EventLoop
    val scheduler: Scheduler = Schedulers.fromExecutorService(loop)
    private val standin = Standin(
        StandinSettings(
            platformAddress = FREE_PORT,
            adminAddress = FREE_PORT,
            databases = listOf(
                DatabaseSettings(
                    name = "orders-1",
                    connectMillis = 12,
                    targets = NAMES.map { TargetSettings(it, "kranj", FREE_PORT, slots = 5, connections = 35) },
                ),
            ),
        ),
    ).apply { start() }

    fun control(name: String): SqlTargetControl {
        val (host, port) = standin.addressOf(name).removePrefix("/").split(':')
        val request = OpenRequest(
            address = InetSocketAddress(host, port.toInt()),
            user = "cardamomlane",
            password = "standin",
            database = "orders-1",
            parameters = persistentMapOf("application_name" to "cardamomlane-control"),
        )
        return SqlTargetControl(TargetId(name), NettySessionOpener(loops), request, scheduler)
    }

    override fun close() {
        standin.close()
        loops.dispose()
    }

    companion object {
        val NAMES = listOf("a", "b", "c")
        private const val FREE_PORT = "127.0.0.1:0"
    }
}
