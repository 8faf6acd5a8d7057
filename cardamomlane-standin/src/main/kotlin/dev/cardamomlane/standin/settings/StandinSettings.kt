package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/**
 * Everything that one stand-in process plays. Addresses are `host:port`; port 0 picks a free port.
 *
 * @property rows what the platform's table holds at the start, each row at version 1
 */
@Serializable
public data class StandinSettings(
    public val platformAddress: String,
    public val adminAddress: String,
    public val table: String = "cardamomlane",
    public val hosts: List<HostSettings> = emptyList(),
    public val hostListLagMillis: Long = 0,
    public val databases: List<DatabaseSettings> = emptyList(),
    public val rows: List<RowSettings> = emptyList(),
)
