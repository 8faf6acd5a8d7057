package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/** One entry of the platform's host list. [state] is `LIVE` or `LEAVING`. */
@Serializable
public data class HostSettings(
    public val host: String,
    public val availabilityZone: String,
    public val peerAddress: String,
    public val adminAddress: String,
    public val state: String = "LIVE",
)
