package dev.cardamomlane.store

/** No answer came from the platform. Whether a write took effect is unknown: repeat it under the same token. */
public class PlatformUnavailableException(message: String, cause: Throwable? = null) : RuntimeException(message, cause)
