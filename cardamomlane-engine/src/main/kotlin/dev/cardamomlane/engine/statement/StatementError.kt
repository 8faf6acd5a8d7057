package dev.cardamomlane.engine.statement

/** The error of one statement. [text] is for people. */
public data class StatementError(val code: ErrorCode, val text: String)
