package dev.cardamomlane.engine.fleet

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * What a host tells another one several times a second.
 *
 * Times on the sender's clock mean nothing to the receiver. It counts ages back from the heartbeat of its own that
 * this one answers: the sender sent this at least [answeredHeldMillis] after that one left the receiver.
 *
 * @property sentAtMillis the sender's clock
 * @property answeredSentAtMillis the receiver's clock in its last heartbeat that arrived, or -1
 * @property answeredIncarnation the run of the receiver that sent it
 * @property answeredHeldMillis how long ago that arrived
 * @property proofAgeMillis age of the sender's proof, or -1 when it has none that counts
 * @property membersHash equal on hosts that know the same members
 * @property configurationVersion the newest configuration that the sender knows
 * @property heardMembers the members heard lately, a bit each in the order of their names
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
    val heardMembers: Long,
    val groups: List<GroupStatus>,
    val demand: List<CustomerDemand>,
)
