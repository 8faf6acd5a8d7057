package dev.cardamomlane.standin

import picocli.CommandLine
import kotlin.system.exitProcess

/** Starts the stand-ins. */
@Suppress("SpreadOperator") // picocli takes its arguments as varargs
public fun main(args: Array<String>) {
    exitProcess(CommandLine(StandinCommand()).execute(*args))
}
