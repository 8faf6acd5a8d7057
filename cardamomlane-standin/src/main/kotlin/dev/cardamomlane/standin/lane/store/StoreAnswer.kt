package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The answer to a call: an HTTP [status] and a [body]. */
internal data class StoreAnswer(val status: Int, val body: Body) {
    /**
     * @property version the store's newest version
     * @property error what was wrong with the call, for people
     */
    @Serializable
    data class Body(
        @SerialName(PlatformWords.VERSION) val version: Long,
        @SerialName(PlatformWords.NOW_MILLIS) val nowMillis: Long,
        val rows: List<StoreRow>? = null,
        val hasMore: Boolean? = null,
        val parts: List<String>? = null,
        val error: String? = null,
    )

    companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val GONE = 410
        const val CONFLICT = 412
        const val TOO_MANY = 429
        const val UNAVAILABLE = 503
    }
}
