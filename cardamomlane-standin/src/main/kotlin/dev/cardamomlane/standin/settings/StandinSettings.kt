package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/**
 * The settings of one stand-in process. Addresses are `host:port`. Port 0 picks a free port.
 *
 * @property adminAddress where the state is reported and faults are injected
 * @property table the name of the platform's table
 * @property hostListLagMillis the delay until a change of the host list becomes visible
 * @property rows the initial rows of the platform's table, each at version 1
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
