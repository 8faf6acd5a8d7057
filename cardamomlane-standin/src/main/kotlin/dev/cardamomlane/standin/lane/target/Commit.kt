package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.LogPosition

/**
 * One commit of a log.
 *
 * @property number its place in the log, counted from 1
 * @property statementId of the write or of the commit that the caller sent
 * @property values the data of each item that it writes
 */
internal class Commit(
    val term: Long,
    val number: Int,
    val statementId: String,
    val values: Map<String, String>,
    val committedAtMillis: Long,
) {
    val position: LogPosition get() = LogPosition(term, number.toLong())
}
