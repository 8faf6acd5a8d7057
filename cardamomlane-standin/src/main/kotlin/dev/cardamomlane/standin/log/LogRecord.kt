package dev.cardamomlane.standin.log

import dev.cardamomlane.core.LogPosition

/** One record of a group's replicated log: a committed transaction, a DDL statement, or the start of a term. */
internal data class LogRecord(val position: LogPosition, val body: RecordBody)
