package dev.cardamomlane.cli

import arrow.core.getOrElse
import dev.cardamomlane.core.rules.RuleSet
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/**
 * A rule file that an operator edits.
 *
 * `lanectl show` writes a first line that names the revision of the rules. That line is not part of the rules, so that
 * two files with the same rules compare as equal.
 *
 * @property basedOn the revision that the first line names, or null when it names none
 */
internal class RuleFile private constructor(private val path: Path, val basedOn: Long?, val rulesText: String) {
    /** Writes the file again with [revision] in its first line, if that line named a revision before. */
    fun updateBasedOn(revision: Long) {
        if (basedOn != null) path.writeText(withRevision(revision, rulesText))
    }

    companion object {
        private val revisionLine = Regex("""# revision (\d{1,18})\r?\n?""")

        fun withRevision(revision: Long, rulesText: String): String = "# revision $revision\n$rulesText"

        /** Reads and checks a rule file. A finding, or a file that cannot be read, ends the command. */
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
