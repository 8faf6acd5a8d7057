package dev.cardamomlane.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Proposes a rule file as the next revision and waits until it is in force. */
@Command(name = "apply", description = ["Puts a rule file in force on every host."])
internal class ApplyCommand : RuleFileCommand() {
    @Option(
        names = ["--based-on"],
        paramLabel = "N",
        description = ["The revision that the file was edited from. Default: its first line, else the one in force."],
    )
    var basedOn: Long? = null

    @Option(names = ["--supersede"], description = ["Replace a revision that is proposed but not yet accepted."])
    var supersede: Boolean = false

    @Option(
        names = ["--wait-seconds"],
        paramLabel = "S",
        defaultValue = "30",
        description = ["Longest wait until the revision is in force. Default: 30."],
    )
    var waitSeconds: Long = 0

    override fun call(): Int {
        val ruleFile = RuleFile.read(file)
        return parent.withConnection { connection ->
            val editor = RevisionEditor(connection)
            val revision = editor.applyRules(ruleFile.rulesText, basedOn ?: ruleFile.basedOn, supersede)
            ruleFile.updateBasedOn(revision)
            InForceWaiter(connection, parent).waitFor(revision, waitSeconds)
        }
    }
}
