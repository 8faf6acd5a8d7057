package dev.cardamomlane.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.ParentCommand
import java.util.concurrent.Callable

/** Prints the rules of a revision in the form that an operator edits. */
@Command(name = "show", description = ["Prints the rules in force, after a line that names their revision."])
internal class ShowCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Option(names = ["--revision"], paramLabel = "N", description = ["Another revision than the one in force."])
    var revision: Long? = null

    override fun call(): Int = parent.withConnection { connection ->
        val number = revision ?: connection.head().accepted
        parent.out.print(RuleFile.withRevision(number, connection.revision(number).rulesText))
        parent.out.flush()
        ExitCodes.OK
    }
}
