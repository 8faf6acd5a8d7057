package dev.cardamomlane.store

/** The platform gave no usable answer. Whether a write took effect is unknown: retry it with the same token. */
public class PlatformUnavailableException(message: String, cause: Throwable? = null) : RuntimeException(message, cause)
