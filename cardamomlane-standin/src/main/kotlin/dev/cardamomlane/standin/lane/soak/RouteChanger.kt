package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.LanePlatform
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.operator.OperatorConfig.Route
import dev.cardamomlane.standin.lane.record.SentStatement
import dev.cardamomlane.standin.lane.wire.PlatformWords
import java.io.IOException
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Changes the routes of some databases under open sessions, up to a few times, and back: another type, another group, or no
 * route at all. Replicas lag meanwhile.
 *
 * Each configuration also adds a route for probes of its own, so that it is known from when on a host goes by it.
 */
internal class RouteChanger(
    private val installation: LaneInstallation,
    private val history: SoakHistory,
    private val random: Random,
) {
    private val platform = installation.platform
    private val record = installation.record

    /** Blocks until the routes are as before. Returns the names of their databases. */
    fun run(): String {
        val first = platform.onLoop { platform.operator.published.first().config }.routes
        val changing = first.shuffled(random).take(random.nextInt(2, first.size + 1))
        setLag(random.nextLong(MIN_LAG_MILLIS, MAX_LAG_MILLIS))
        repeat(random.nextInt(1, MAX_CHANGES + 1)) {
            publish(first - changing.toSet() + changing.mapNotNull(::changed))
            Thread.sleep(random.nextLong(MIN_STAY_MILLIS, MAX_STAY_MILLIS))
        }
        publish(first)
        Thread.sleep(RETURN_MILLIS)
        setLag(installation.site.lagMillis)
        return changing.joinToString { it.database }
    }

    /** Returns what takes the place of [route]: another type, another group, both, itself or none. */
    private fun changed(route: Route): Route? {
        val moved = if (random.nextInt(MOVE_SHARE) == 0) route.copy(group = LanePlatform.SECOND_GROUP_NAME) else route
        return when (random.nextInt(KINDS)) {
            0 -> null
            1 -> moved
            else -> retyped(moved)
        }
    }

    private fun retyped(route: Route): Route {
        val type = TYPES.random(random)
        val maxStaleMillis = route.maxStaleMillis ?: OperatorConfig.BOUNDED_MILLIS
        return route.copy(
            name = "${route.name}-$type",
            type = type,
            maxStaleMillis = maxStaleMillis.takeIf { type != PlatformWords.PRIMARY },
        )
    }

    /** Publishes a configuration with [routes], and waits until hosts go by it. */
    private fun publish(routes: List<Route>) {
        val probe = "probe-${random.nextInt(MAX_PROBE)}"
        val config = installation.changeRoutes { routes + probeRoute(probe) }
        record.line("routes: ${routes.joinToString { "${it.database} ${it.type} at ${it.group}" }}")
        installation.hosts.indices.map { thread(isDaemon = true) { awaitEffect(it, probe, config.revision) } }
            .forEach(Thread::join)
    }

    private fun probeRoute(database: String) = Route(
        "r-$database",
        database,
        PlatformWords.PRIMARY,
        LanePlatform.GROUP_NAME,
        timeoutMillis = PROBE_TIMEOUT_MILLIS,
        goalMillis = PROBE_TIMEOUT_MILLIS,
    )

    private fun awaitEffect(host: Int, database: String, revision: Long) {
        val untilMillis = record.nowMillis + MAX_EFFECT_MILLIS
        while (record.nowMillis < untilMillis) {
            if (isServed(host, database)) {
                return history.add(RouteEffect(installation.hosts[host].plan.name, revision, record.nowMillis))
            }
            Thread.sleep(PROBE_PAUSE_MILLIS)
        }
    }

    private fun isServed(host: Int, database: String): Boolean = try {
        val key = installation.customers[PROBE_CUSTOMER].keys.last()
        installation.connect(database, host, PROBE_CUSTOMER, database, key).use { session ->
            if (!session.isOpen) return false
            val id = installation.ids.next()
            history.sent.add(SentStatement(id, PROBE, operation = id))
            session.run(PROBE, id).also(history.sent::onAnswer).isRunByTarget
        }
    } catch (_: IOException) {
        false
    }

    private fun setLag(millis: Long) = platform.onLoop {
        (platform.targets + platform.secondTargets).forEach { it.target.lagMillis = millis }
    }

    private companion object {
        /** Types in the share in which they are drawn. */
        val TYPES = listOf(PlatformWords.PRIMARY, PlatformWords.BOUNDED, PlatformWords.SESSION, PlatformWords.SESSION)

        /** One change in this many takes the route away. */
        const val KINDS = 8
        const val MOVE_SHARE = 2
        const val MAX_CHANGES = 6
        const val MIN_STAY_MILLIS = 200L
        const val MAX_STAY_MILLIS = 5_000L
        const val RETURN_MILLIS = 2_000L
        const val MIN_LAG_MILLIS = 500L
        const val MAX_LAG_MILLIS = 2_000L
        const val MAX_PROBE = 1_000_000
        const val PROBE = "READ 1a"
        const val PROBE_CUSTOMER = 3
        const val PROBE_TIMEOUT_MILLIS = 1_000L
        const val PROBE_PAUSE_MILLIS = 30L
        const val MAX_EFFECT_MILLIS = 4_000L
    }
}
