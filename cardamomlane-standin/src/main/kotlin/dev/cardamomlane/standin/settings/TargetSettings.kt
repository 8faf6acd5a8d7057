package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/**
 * One target of a database group.
 *
 * @property slots how many statements the target runs at once
 * @property connections how many client connections it accepts, not counting control connections
 */
@Serializable
public data class TargetSettings(
    public val name: String,
    public val availabilityZone: String,
    public val address: String,
    public val slots: Int = 5,
    public val connections: Int = 35,
)
