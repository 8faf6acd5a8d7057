package dev.cardamomlane.core.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A commit that was acknowledged, in the log of the group [log]. Its position means nothing in another log.
 *
 * @property position at or after the commit's own; [LogPosition.END] if the target did not report one
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class LogCommit(val log: DatabaseId, val position: LogPosition) {
    public companion object {
        /** The commit in [log] that a target acknowledged with [position], which is null if it reported none. */
        public fun of(log: DatabaseId, position: LogPosition?): LogCommit = LogCommit(log, position ?: LogPosition.END)
    }
}
