package dev.cardamomlane.daemon.settings

import kotlinx.collections.immutable.ImmutableList

/** All settings of one daemon. [SettingsReader] reads them from a YAML file. */
internal data class Settings(
    val host: HostSettings,
    val fleet: FleetSettings,
    val platform: PlatformSettings,
    val targetUser: TargetUserSettings,
    val callers: CallerSettings,
    val trace: TraceSettings,
    val databases: ImmutableList<DatabaseSettings>,
)
