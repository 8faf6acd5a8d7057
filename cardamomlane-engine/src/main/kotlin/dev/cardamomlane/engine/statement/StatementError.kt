package dev.cardamomlane.engine.statement

/** The error of one statement. [text] explains it to people; programs use [code]. */
public data class StatementError(val code: ErrorCode, val text: String)
