package dev.cardamomlane.cli

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.ParentCommand
import java.nio.file.Path
import java.util.concurrent.Callable

/** Checks a rule file without the platform. */
@Command(name = "check", description = ["Checks a rule file and prints every finding."])
internal class CheckCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Parameters(paramLabel = "FILE")
    lateinit var file: Path

    override fun call(): Int {
        RuleFile.read(file)
        parent.out.println(if (parent.json) """{"findings":0}""" else "$file has no findings.")
        return ExitCodes.OK
    }
}

/** Compares a rule file with the revision in force. */
@Command(
    name = "diff",
    description = ["Shows how a rule file differs from the rules in force. Exits with 1 if it does."],
)
internal class DiffCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Parameters(paramLabel = "FILE")
    lateinit var file: Path

    override fun call(): Int {
        val ruleFile = RuleFile.read(file)
        val (accepted, lines) =
            parent.connected { connection ->
                val accepted = connection.head().accepted
                accepted to LineDiff.between(connection.revision(accepted).rulesText, ruleFile.rulesText)
            }
        if (parent.json) {
            val answer =
                buildJsonObject {
                    put("accepted", accepted)
                    putJsonArray("lines") { lines.forEach { add(JsonPrimitive(it)) } }
                }
            parent.out.println(answer)
        } else {
            lines.forEach(parent.out::println)
        }
        return if (lines.isEmpty()) ExitCodes.OK else ExitCodes.REFUSED
    }
}

/** Prints the rules of a revision in the form that an operator edits. */
@Command(name = "show", description = ["Prints the rules in force, after a line that names their revision."])
internal class ShowCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Option(names = ["--revision"], paramLabel = "N", description = ["Another revision than the one in force."])
    var revision: Long? = null

    override fun call(): Int = parent.connected { connection ->
        val number = revision ?: connection.head().accepted
        parent.out.print(RuleFile.withRevision(number, connection.revision(number).rulesText))
        parent.out.flush()
        ExitCodes.OK
    }
}

/** Proposes a rule file as the next revision. */
@Command(name = "apply", description = ["Puts a rule file in force on every host."])
internal class ApplyCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Parameters(paramLabel = "FILE")
    lateinit var file: Path

    @Option(
        names = ["--based-on"],
        paramLabel = "N",
        description = ["The revision that the file was edited from. Default: its first line, else the last."],
    )
    var basedOn: Long? = null

    @Option(names = ["--supersede"], description = ["Take the place of a revision that is still in proposal."])
    var supersede: Boolean = false

    @Option(names = ["--wait-seconds"], paramLabel = "S", defaultValue = "30", description = ["Default: 30."])
    var waitSeconds: Long = 0

    override fun call(): Int {
        val ruleFile = RuleFile.read(file)
        return parent.connected { connection ->
            val editor = RevisionEditor(connection)
            val revision = editor.applyRules(ruleFile.rulesText, basedOn ?: ruleFile.basedOn, supersede)
            ruleFile.rebase(revision)
            ForceWait(connection, parent).until(revision, waitSeconds)
        }
    }
}
