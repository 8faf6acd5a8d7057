package dev.cardamomlane.bench

import picocli.CommandLine
import kotlin.system.exitProcess

/** Entry point of `lanebench`. */
@Suppress("SpreadOperator") // Picocli takes its arguments as varargs.
public fun main(args: Array<String>) {
    exitProcess(CommandLine(Lanebench()).execute(*args))
}
