package dev.cardamomlane.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.ParentCommand
import java.util.concurrent.Callable

/** Prints the rules of a revision as a rule file that an operator can edit and apply. */
@Command(name = "show", description = ["Prints the rules of a revision, after a line that names the revision."])
internal class ShowCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Option(names = ["--revision"], paramLabel = "N", description = ["Revision to print. Default: the one in force."])
    var revision: Long? = null

    override fun call(): Int = parent.withConnection { connection ->
        val number = revision ?: connection.head().accepted
        parent.out.print(RuleFile.withRevision(number, connection.revision(number).rulesText))
        parent.out.flush()
        ExitCodes.OK
    }
}
