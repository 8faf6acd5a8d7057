package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId

/**
 * The stored record of which target takes the writes of one database group.
 *
 * @property version the row's version in the store; 0 when there is no row yet
 * @property fence the fencing token, which rises with each takeover and is sent with every promotion
 * @property primary the target that takes writes, or the one that did before the takeover under way
 * @property isChanging true from the start of a takeover until the new primary is published
 * @property isPlanned true when the old primary still works, so that open transactions may finish before the takeover
 * @property holder the host and incarnation that runs or ran the takeover, as `host#incarnation`
 * @property term the log term of [primary], or 0 when unknown
 */
public data class GroupRecord(
    val group: DatabaseId,
    val version: Long,
    val fence: Long,
    val primary: TargetId,
    val isChanging: Boolean,
    val isPlanned: Boolean,
    val holder: String,
    val term: Long,
)
