package dev.cardamomlane.standin

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the command line of the stand-in. Exits the process when the command ends. */
@Suppress("SpreadOperator") // picocli takes its arguments as varargs
public fun main(args: Array<String>) {
    exitProcess(CommandLine(StandinCommand()).execute(*args))
}
