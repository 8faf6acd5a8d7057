package dev.cardamomlane.standin.lane.target

/**
 * What all targets of one database group have in common.
 *
 * @property slotCount how many statements a target runs at once
 * @property maxWaiting how many statements may wait for a slot; further ones are refused as busy
 * @property maxConnections how many connections a target accepts from all callers together
 * @property connectMillis how long a new connection occupies a slot
 * @property statementMillis how long a read, write or commit occupies a slot
 * @property statusMillis how long a question for the status occupies a slot
 * @property maxExtraMillis up to this much longer, at random, anything occupies its slot
 * @property promoteMillis from an accepted promotion to its effect
 * @property receiveMillis from a commit at the primary to its arrival at a replica
 * @property lagMillis from the commit to the moment when a replica has applied it
 * @property rollbackMillis how long a replica is busy after a promotion has rolled back a part of its log
 * @property stepDownMillis from a promotion to the moment when an old primary that can reach the new one follows it
 * @property syncReplicaCount how many replicas must have received a commit before it is acknowledged
 * @property heartbeatMillis how often a target reports itself
 */
internal data class GroupSettings(
    val name: String,
    val slotCount: Int = 5,
    val maxWaiting: Int = 200,
    val maxConnections: Int = 50,
    val connectMillis: Long = 12,
    val statementMillis: Long = 11,
    val statusMillis: Long = 1,
    val maxExtraMillis: Long = 0,
    val promoteMillis: Long = 300,
    val receiveMillis: Long = 1,
    val lagMillis: Long = 8,
    val rollbackMillis: Long = 200,
    val stepDownMillis: Long = 1_000,
    val syncReplicaCount: Int = 0,
    val heartbeatMillis: Long = 1_200,
)
