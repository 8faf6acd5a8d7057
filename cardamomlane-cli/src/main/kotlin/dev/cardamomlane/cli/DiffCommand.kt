package dev.cardamomlane.cli

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import picocli.CommandLine.Command

/** Compares a rule file with the revision in force. */
@Command(
    name = "diff",
    description = ["Shows how a rule file differs from the rules in force. Exits with 1 if it does."],
)
internal class DiffCommand : RuleFileCommand() {
    override fun call(): Int {
        val ruleFile = RuleFile.read(file)
        val (accepted, lines) =
            parent.withConnection { connection ->
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
