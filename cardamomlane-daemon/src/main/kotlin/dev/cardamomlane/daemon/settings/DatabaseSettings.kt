package dev.cardamomlane.daemon.settings

import dev.cardamomlane.core.DatabaseId
import kotlinx.collections.immutable.ImmutableList

/** One database group and its targets. */
internal data class DatabaseSettings(val name: DatabaseId, val targets: ImmutableList<TargetSettings>)
