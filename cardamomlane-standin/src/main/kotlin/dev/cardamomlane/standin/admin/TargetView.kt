package dev.cardamomlane.standin.admin

import dev.cardamomlane.standin.session.TargetServer
import kotlinx.serialization.Serializable

/** The state of one target in the answer to `GET /state`. */
@Serializable
internal data class TargetView(
    val name: String,
    val database: String,
    val availabilityZone: String,
    val address: String,
    val role: String,
    val fenceTerm: Long,
    val fenceClaimant: String,
    val received: String,
    val applied: String,
    val following: String,
    val leaving: Boolean,
    val incarnation: Long,
    val connections: Int,
    val controlConnections: Int,
    val running: Int,
    val queued: Int,
    val cutFromCallers: Boolean,
    val cutFromPeers: Boolean,
    val crashed: Boolean,
    val lagMillis: Long,
    val slowMillis: Long,
    val loseAnswers: Int,
) {
    companion object {
        fun of(server: TargetServer): TargetView {
            val target = server.target
            val status = target.status
            val control = target.sessions.count { it.isControl }
            return TargetView(
                name = target.name,
                database = target.group.settings.name,
                availabilityZone = target.settings.availabilityZone,
                address = server.address.toString(),
                role = status.role.label,
                fenceTerm = status.fenceTerm,
                fenceClaimant = status.fenceClaimant,
                received = status.received.toString(),
                applied = status.applied.toString(),
                following = status.following,
                leaving = status.leaving,
                incarnation = status.incarnation,
                connections = target.sessions.size - control,
                controlConnections = control,
                running = target.slots.running,
                queued = target.slots.queued,
                cutFromCallers = target.faults.partitionedFromCallers,
                cutFromPeers = target.faults.partitionedFromPeers,
                crashed = target.faults.crashed,
                lagMillis = target.faults.lagMillis,
                slowMillis = target.faults.slowMillis,
                loseAnswers = target.faults.loseAnswers,
            )
        }
    }
}
