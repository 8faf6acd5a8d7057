package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a target says of itself.
 *
 * @property slotCount how many statements it runs at once
 * @property sequence counts its reports since its start
 * @property startedAtUnixMillis when it started
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class TargetEntry(
    @SerialName(PlatformWords.GROUP) val group: String,
    @SerialName(PlatformWords.ADDRESS) val address: String,
    @SerialName("zone") val availabilityZone: String,
    @SerialName("slots") val slotCount: Int,
    val state: String,
    @SerialName(PlatformWords.ROLE) val role: String,
    @SerialName(PlatformWords.SEQUENCE) val sequence: Long,
    @SerialName(PlatformWords.STARTED_AT_MILLIS) val startedAtUnixMillis: Long,
    @EncodeDefault @SerialName(PlatformWords.WARM_UP_MILLIS) val warmUpMillis: Long = 0,
    @EncodeDefault @SerialName("version") val softwareVersion: String = "v1",
)
