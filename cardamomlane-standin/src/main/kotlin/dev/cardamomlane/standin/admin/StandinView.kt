package dev.cardamomlane.standin.admin

import dev.cardamomlane.standin.settings.HostSettings
import kotlinx.serialization.Serializable

/** The answer to `GET /state`. */
@Serializable
internal data class StandinView(
    val targets: List<TargetView>,
    val platform: PlatformView,
    val hosts: List<HostSettings>,
)
