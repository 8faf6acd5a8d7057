package dev.cardamomlane.cli

import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import java.nio.file.Path
import java.util.concurrent.Callable

/** A subcommand whose argument is a rule file. */
internal abstract class RuleFileCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Parameters(paramLabel = "FILE")
    lateinit var file: Path
}
