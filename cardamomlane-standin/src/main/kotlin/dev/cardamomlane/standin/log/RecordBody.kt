package dev.cardamomlane.standin.log

import kotlinx.collections.immutable.ImmutableList

/** The content of a log record. */
internal sealed interface RecordBody {
    /** The first record of a term. It changes no data. */
    data object TermStart : RecordBody

    /** A DDL statement or TRUNCATE. Replicas run its text. */
    data class Ddl(val sql: String) : RecordBody

    /** The row changes of one committed transaction, in the order in which they were made. */
    data class Changes(val rows: ImmutableList<RowChange>) : RecordBody
}
