package dev.cardamomlane.cli

/** Ends a command with [exitCode] after [message] is printed for the operator. */
internal class CommandFailure(val exitCode: Int, override val message: String) : RuntimeException(message)
