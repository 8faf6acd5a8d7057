package dev.cardamomlane.standin.lane

import dev.cardamomlane.standin.lane.host.LoopbackNetwork
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.operator.Operator
import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.record.GroupHistory
import dev.cardamomlane.standin.lane.record.RunRecord
import dev.cardamomlane.standin.lane.store.RowStore
import dev.cardamomlane.standin.lane.store.StoreFaults
import dev.cardamomlane.standin.lane.store.StoreServer
import dev.cardamomlane.standin.lane.target.GroupSettings
import dev.cardamomlane.standin.lane.target.PromotionFaults
import dev.cardamomlane.standin.lane.target.PromotionOrder
import dev.cardamomlane.standin.lane.target.PromotionServer
import dev.cardamomlane.standin.lane.target.StoreRegistry
import dev.cardamomlane.standin.lane.target.TargetGroup
import dev.cardamomlane.standin.lane.target.TargetServer
import dev.cardamomlane.standin.lane.time.LoopTimers
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import reactor.netty.resources.LoopResources
import java.util.concurrent.Callable
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/**
 * The stand-ins of the users' platform: its store, its promote call, its operator, and one or two database groups.
 *
 * All of them run on one event loop, which owns their state; other threads use [onLoop]. [close] ends them.
 *
 * @param hasSecondGroup whether there is a group that no route of the first configuration leads to
 */
internal class LanePlatform(
    site: SitePlan,
    network: LoopbackNetwork,
    customerCount: Int,
    ratePerSecond: Int,
    private val record: RunRecord,
    private val syncReplicaCount: Int = 0,
    hasSecondGroup: Boolean = false,
) : AutoCloseable {
    private val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Runs further servers on the same loop. */
    val loopResources = LoopResources { loops }
    private val promotionListeners = CopyOnWriteArrayList<(PromotionOrder) -> Unit>()
    val timers = LoopTimers(loops.next())
    val store = RowStore()
    val storeFaults = StoreFaults()
    val promotionFaults = PromotionFaults()
    val history = GroupHistory(record, ::groupOf)
    val group = newGroup(GROUP_NAME, site)
    val secondGroup: TargetGroup? =
        if (hasSecondGroup) newGroup(SECOND_GROUP_NAME, site, firstTransaction = SECOND_GROUP_TRANSACTION) else null
    val groups: List<TargetGroup> = listOfNotNull(group, secondGroup)
    val operator = Operator(
        store,
        OperatorConfig.first(
            OperatorConfig.Group(GROUP_NAME, site.maxConnections, syncReplicaCount),
            customerCount = customerCount,
            ratePerSecond = ratePerSecond,
            otherGroups = listOfNotNull(secondGroup).map {
                OperatorConfig.Group(it.settings.name, site.maxConnections, syncReplicaCount)
            },
        ),
        record::nowMillis,
    )

    /** The targets of [group]. */
    val targets: List<TargetServer> = site.targetZones.mapIndexed { index, zone ->
        TargetServer(group.add("target-${'a' + index}", zone), network.nextSocketAddress(), loops)
    }

    /** The targets of [secondGroup]. */
    val secondTargets: List<TargetServer> = secondGroup?.let { second ->
        site.targetZones.mapIndexed { index, zone ->
            TargetServer(second.add("second-${'a' + index}", zone), network.nextSocketAddress(), loops)
        }
    }.orEmpty()
    val storeServer = StoreServer(network.nextSocketAddress(), store, storeFaults, timers, loopResources)
    val promotionServer = PromotionServer(
        network.nextSocketAddress(),
        groups,
        promotionFaults,
        timers,
        loopResources,
        onArrived = { record.line("promotion arrives: $it") },
        onPerformed = { order, result ->
            record.line("promotion performed: $order, $result")
            promotionListeners.forEach { it(order) }
        },
    )

    /** Starts all stand-ins. Blocks until the store and the promote call accept connections. */
    fun start() {
        storeServer.start()
        promotionServer.start()
        onLoop { (targets + secondTargets).forEach(TargetServer::start) }
    }

    private fun newGroup(name: String, site: SitePlan, firstTransaction: Int = 1) = TargetGroup(
        GroupSettings(
            name = name,
            maxConnections = site.maxConnections,
            promoteMillis = site.promoteMillis,
            lagMillis = site.lagMillis,
            maxExtraMillis = MAX_EXTRA_MILLIS,
            syncReplicaCount = syncReplicaCount,
        ),
        timers,
        StoreRegistry(store, storeFaults),
        history,
        firstTransaction = firstTransaction,
    )

    private fun groupOf(target: String): String = groups.firstOrNull {
        it.find(target) != null
    }?.settings?.name.orEmpty()

    /** Runs [action] on the loop, blocks until it has ended and returns its result. Must not be called on the loop. */
    fun <T> onLoop(action: () -> T): T = loops.next().submit(Callable(action)).get()

    /** Calls [listener] on the loop with each promotion that was performed, before its answer. */
    fun onPromotion(listener: (PromotionOrder) -> Unit) {
        promotionListeners += listener
    }

    /** Returns the server of the target [name]. Throws [IllegalArgumentException] if there is none. */
    fun server(name: String): TargetServer =
        requireNotNull(targets.find { it.target.name == name }) { "no target is called \"$name\"" }

    /** Returns the server of the present primary, or null if none runs. Must be called on the loop. */
    fun primaryServer(): TargetServer? = group.primary()?.let { server(it.name) }

    override fun close() {
        storeServer.close()
        promotionServer.close()
        loops.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    companion object {
        /** Without a difference, replicas would answer in the same order each time. */
        private const val MAX_EXTRA_MILLIS = 3L
        const val GROUP_NAME = "archive"
        const val SECOND_GROUP_NAME = "annex"
        private const val SECOND_GROUP_TRANSACTION = 1_000_000_000
        private const val STOP_TIMEOUT_MILLIS = 2_000L
    }
}
