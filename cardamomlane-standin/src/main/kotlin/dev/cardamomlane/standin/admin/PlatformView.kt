package dev.cardamomlane.standin.admin

import dev.cardamomlane.standin.platform.PlatformServer
import kotlinx.serialization.Serializable

/** The state of the platform in the answer to `GET /state`. */
@Serializable
internal data class PlatformView(
    val address: String,
    val items: Int,
    val out: Boolean,
    val slowMillis: Long,
    val loseAnswers: Int,
) {
    companion object {
        fun of(server: PlatformServer): PlatformView = PlatformView(
            address = server.address.toString(),
            items = server.table.itemCount,
            out = server.faults.isInOutage,
            slowMillis = server.faults.slowMillis,
            loseAnswers = server.faults.loseAnswers,
        )
    }
}
