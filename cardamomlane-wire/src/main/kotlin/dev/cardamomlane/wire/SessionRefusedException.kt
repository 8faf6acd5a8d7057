package dev.cardamomlane.wire

/** The server refused a session with [error]. */
public class SessionRefusedException(public val error: ServerError) :
    RuntimeException("${error.sqlState}: ${error.message}")
