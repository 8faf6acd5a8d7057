package dev.cardamomlane.wire

/** The server answered the startup of a session with [error]. */
public class SessionRefusedException(public val error: ServerError) :
    RuntimeException("${error.sqlState}: ${error.message}")
