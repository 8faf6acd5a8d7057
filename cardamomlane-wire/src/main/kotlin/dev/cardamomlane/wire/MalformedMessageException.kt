package dev.cardamomlane.wire

/** A peer sent bytes that are not a message of the PostgreSQL protocol, version 3. The connection can't be used on. */
public class MalformedMessageException(message: String) : RuntimeException(message)
