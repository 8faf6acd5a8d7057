package dev.cardamomlane.cli

import arrow.core.getOrElse
import dev.cardamomlane.core.rules.RuleSet
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/**
 * A rule file as an operator edits it.
 *
 * `lanectl show` starts it with a line that names the revision it came from. That line belongs to the file and not to
 * the rules, so that two edits of the same rules compare as equal.
 *
 * @property basedOn the revision that the first line names, or null when it names none
 */
internal class RuleFile private constructor(private val path: Path, val basedOn: Long?, val rulesText: String) {
    /** Names [revision] in the first line, if the file had such a line. */
    fun updateBasedOn(revision: Long) {
        if (basedOn != null) path.writeText(withRevision(revision, rulesText))
    }

    companion object {
        private val revisionLine = Regex("""# revision (\d{1,18})\r?\n?""")

        fun withRevision(revision: Long, rulesText: String): String = "# revision $revision\n$rulesText"

        /** Reads and checks the file. Findings end the command. */
        fun read(path: Path): RuleFile {
            val text = readText(path)
            RuleSet.parse(path.toString(), text).getOrElse {
                throw CommandFailure(ExitCodes.REFUSED, it.joinToString("\n"))
            }
            val match = revisionLine.matchAt(text, 0) ?: return RuleFile(path, basedOn = null, text)
            return RuleFile(path, match.groupValues[1].toLong(), text.substring(match.value.length))
        }

        fun readText(path: Path): String = try {
            path.readText()
        } catch (e: IOException) {
            throw CommandFailure(ExitCodes.USAGE, "Rule file $path cannot be read: ${e.message}")
        }
    }
}
