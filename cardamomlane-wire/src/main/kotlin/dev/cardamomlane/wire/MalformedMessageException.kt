package dev.cardamomlane.wire

/**
 * The other side sent bytes that are not a message of the PostgreSQL protocol, version 3, after which the connection
 * can't be used any longer; or a text to send contains a zero byte.
 */
public class MalformedMessageException(message: String) : RuntimeException(message)
