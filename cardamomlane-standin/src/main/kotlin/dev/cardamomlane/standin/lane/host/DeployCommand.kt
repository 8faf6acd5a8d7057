package dev.cardamomlane.standin.lane.host

import java.nio.file.Path
import kotlin.io.path.readLines

/** The command of the one role of a deploy file. */
internal object DeployCommand {
    /** Returns the program and its arguments. Throws [IllegalArgumentException] if [file] names no command. */
    fun read(file: Path): List<String> {
        val line = file.readLines().find { it.substringBefore('=').trim() == "run" }
        requireNotNull(line) { "$file has no line run" }
        return line.substringAfter('"').substringBeforeLast('"').split(' ')
    }
}
