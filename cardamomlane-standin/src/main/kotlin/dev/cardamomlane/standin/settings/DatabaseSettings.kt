package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/**
 * One database group.
 *
 * @property connectMillis what a target spends on opening one connection
 * @property serviceMillis how long one statement holds its slot besides its own work
 * @property lagMillis how long replicas wait before they apply what they have received
 * @property password what clients must show, or null to accept everything
 * @property initSql statements that the first primary runs at its start
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
