package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/**
 * One database group: the targets that hold replicas of one database.
 *
 * @property connectMillis how long a target takes to open a connection
 * @property serviceMillis how long a statement holds its slot in addition to its own work
 * @property lagMillis how long replicas wait before they apply a received record
 * @property password the password that clients must send, or null to accept any
 * @property initSql statements that the first primary runs when the group starts
 */
@Serializable
public data class DatabaseSettings(
    public val name: String,
    public val connectMillis: Long = 12,
    public val serviceMillis: Long = 2,
    public val lagMillis: Long = 20,
    public val password: String? = null,
    public val targets: List<TargetSettings>,
    public val initSql: List<String> = emptyList(),
)
