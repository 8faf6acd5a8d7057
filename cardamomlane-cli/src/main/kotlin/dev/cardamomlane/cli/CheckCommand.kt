package dev.cardamomlane.cli

import picocli.CommandLine.Command

/** Checks a rule file. Needs no connection to the platform. */
@Command(name = "check", description = ["Checks a rule file and prints every finding."])
internal class CheckCommand : RuleFileCommand() {
    override fun call(): Int {
        RuleFile.read(file)
        parent.out.println(if (parent.json) """{"findings":0}""" else "$file has no findings.")
        return ExitCodes.OK
    }
}
