package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The state that a host reports to another one several times a second.
 *
 * The clocks of hosts are not comparable, so the receiver dates this heartbeat by its own last one that the sender had
 * received: this one was sent at least [answeredHeldMillis] after the receiver sent that one.
 *
 * @property sentAtMillis when this was sent, on the sender's clock
 * @property answeredSentAtMillis [sentAtMillis] of the receiver's last heartbeat that the sender received, or -1
 * @property answeredIncarnation the incarnation of the receiver that sent it
 * @property answeredHeldMillis how long before this was sent it had arrived
 * @property proofAgeMillis age of the sender's proof, as [GroupRecords] defines it, or -1 when it is too old
 * @property membersHash equal on hosts that know the same members
 * @property configurationVersion the newest configuration that the sender knows
 * @property isInformed true when the sender has known every group record since it became a member, see [Fleet.isInformed]
 * @property isReady true while the sender takes new operations
 * @property heardMembers the members that recently sent the sender a heartbeat
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class Heartbeat(
    val sentAtMillis: Long,
    val answeredSentAtMillis: Long,
    val answeredIncarnation: Long,
    val answeredHeldMillis: Long,
    val proofAgeMillis: Long,
    val membersHash: Int,
    val configurationVersion: Long,
    val isInformed: Boolean,
    val isReady: Boolean,
    val heardMembers: List<String>,
    val groups: List<GroupStatus>,
    val demand: List<CustomerDemand>,
)
