package dev.cardamomlane.cli

/** Ends a command with [exitCode] and a sentence for the operator. */
internal class CommandFailure(val exitCode: Int, override val message: String) : RuntimeException(message)
