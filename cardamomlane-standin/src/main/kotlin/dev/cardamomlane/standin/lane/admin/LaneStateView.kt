package dev.cardamomlane.standin.lane.admin

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.host.HostProcess
import dev.cardamomlane.standin.lane.target.LaneTarget
import kotlinx.serialization.Serializable

/**
 * What the admin server reports.
 *
 * @property configuration the newest revision that the operator has written
 */
@Serializable
internal data class LaneStateView(
    val targets: List<Target>,
    val hosts: List<Host>,
    val store: Store,
    val promotionSlowMillis: Long,
    val configuration: Long,
) {
    /** Positions are the term and the number of the newest commit. */
    @Serializable
    data class Target(
        val name: String,
        val isRunning: Boolean,
        val isPrimary: Boolean,
        val isDraining: Boolean,
        val received: String,
        val applied: String,
        val lagMillis: Long,
        val statementMillis: Long,
        val connections: Int,
    )

    @Serializable
    data class Host(val name: String, val isAlive: Boolean)

    @Serializable
    data class Store(val version: Long, val epoch: Long, val outage: String?, val slowMillis: Long)

    companion object {
        /** Must be called on the loop of the platform. */
        fun of(installation: LaneInstallation): LaneStateView {
            val platform = installation.platform
            return LaneStateView(
                targets = platform.group.targets.map(::target),
                hosts = installation.hosts.map(::host),
                store = Store(
                    version = platform.store.version,
                    epoch = platform.store.epoch,
                    outage = platform.storeFaults.outage?.name,
                    slowMillis = platform.storeFaults.slowMillis,
                ),
                promotionSlowMillis = platform.promotionFaults.slowMillis,
                configuration = platform.operator.config.revision,
            )
        }

        private fun target(target: LaneTarget) = Target(
            name = target.name,
            isRunning = target.isRunning,
            isPrimary = target.isPrimary,
            isDraining = target.isDraining,
            received = "${target.receivedPosition}",
            applied = "${target.appliedPosition}",
            lagMillis = target.lagMillis,
            statementMillis = target.statementMillis,
            connections = target.connectionCount,
        )

        private fun host(host: HostProcess) = Host(host.plan.name, host.isAlive)
    }
}
