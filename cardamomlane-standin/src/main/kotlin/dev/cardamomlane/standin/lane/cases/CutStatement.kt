package dev.cardamomlane.standin.lane.cases

/** A statement whose connection ended without an answer. Both times count from the signal to the host. */
internal data class CutStatement(val statementId: String, val sentMillis: Long, val endedMillis: Long)
