package dev.cardamomlane.core.codec

/** A text that can't be decoded, with the [reason] in one line. */
public data class UnreadableText(val reason: String)
