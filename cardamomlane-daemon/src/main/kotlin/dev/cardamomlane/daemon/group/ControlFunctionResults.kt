package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus

/** Reads the rows that the control functions of a target return, such as `cardamomlane_status()`. */
internal object ControlFunctionResults {
    private const val STATUS_COLUMNS = 10

    /**
     * Reads the status columns of [row]. [first] is the index of the first of them.
     *
     * @throws IllegalArgumentException if a column is missing, or its value is one that no target can have
     */
    fun status(row: TextRow, first: Int = 0): TargetStatus {
        require(row.size >= first + STATUS_COLUMNS) {
            "a status row has too few columns: ${row.size}"
        }
        return TargetStatus(
            role = role(row[first]),
            fenceTerm = term(row[first + 1]),
            fenceClaimant = row[first + 2].ifEmpty { null },
            received = LogPosition(term(row[first + 3]), row[first + 4].toLong()),
            applied = LogPosition(term(row[first + 5]), row[first + 6].toLong()),
            following = row[first + 7].ifEmpty { null }?.let(::TargetId),
            leaving = flag(row[first + 8]),
            incarnation = row[first + 9],
        )
    }

    /** Reads the `granted` column, the first of the row. */
    fun granted(row: TextRow): Boolean = flag(row[0])

    private fun term(text: String): Long = SequenceNumbers.requireValid("term", text.toLong())

    private fun flag(text: String): Boolean = text == "t"

    private fun role(text: String): TargetRole = when (text) {
        "primary" -> TargetRole.PRIMARY
        "replica" -> TargetRole.REPLICA
        else -> throw IllegalArgumentException("unknown role \"$text\"")
    }
}
