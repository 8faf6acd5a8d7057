package dev.cardamomlane.cli

import kotlin.system.exitProcess

/** Runs `lanectl` and ends the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(LaneCtl.run(args))
}
