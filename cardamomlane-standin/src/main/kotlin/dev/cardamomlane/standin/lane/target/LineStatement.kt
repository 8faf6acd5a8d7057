package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.line.Line

/** A statement of the line protocol. */
internal sealed interface LineStatement {
    data class Begin(val isReadOnly: Boolean) : LineStatement

    data object Commit : LineStatement

    data object Rollback : LineStatement

    data class Read(val item: String) : LineStatement

    data class Write(val item: String, val data: String) : LineStatement

    data class Set(val name: String, val value: String) : LineStatement

    data class Prepare(val name: String, val plan: PreparedPlan) : LineStatement

    /** [arguments] is the item, and for a write the data behind it. */
    data class Execute(val name: String, val arguments: String) : LineStatement

    data class Deallocate(val name: String) : LineStatement

    data object Reset : LineStatement

    data object Status : LineStatement

    data class Demote(val term: Long) : LineStatement

    data class Pause(val term: Long) : LineStatement

    data object Resume : LineStatement

    data object Malformed : LineStatement

    companion object {
        private const val READ = "READ"
        private const val WRITE = "WRITE"

        /** Returns [Malformed] if [text] is no statement. */
        fun parse(text: String): LineStatement = when (text) {
            "BEGIN" -> Begin(isReadOnly = false)
            "BEGIN $READ" -> Begin(isReadOnly = true)
            "COMMIT" -> Commit
            "ROLLBACK" -> Rollback
            "RESET" -> Reset
            "STATUS" -> Status
            "RESUME" -> Resume
            else -> parseFields(text) ?: Malformed
        }

        private fun parseFields(text: String): LineStatement? = when (Line.word(text)) {
            READ -> Line.fields(text, 1)?.let { (item) -> Read(item) }
            WRITE -> Line.fields(text, 2)?.let { (item, data) -> Write(item, data) }
            "SET" -> Line.fields(text, 2)?.let { (name, value) -> Set(name, value) }
            "PREPARE" -> Line.fields(text, 3)?.let { (name, access, shape) -> prepare(name, access, shape) }
            "EXEC" -> Line.fields(text, 2)?.let { (name, arguments) -> Execute(name, arguments) }
            "CLOSE" -> Line.fields(text, 1)?.let { (name) -> Deallocate(name) }
            "DEMOTE" -> Line.fields(text, 1)?.single()?.toLongOrNull()?.let(::Demote)
            "PAUSE" -> Line.fields(text, 1)?.single()?.toLongOrNull()?.let(::Pause)
            else -> null
        }

        private fun prepare(name: String, access: String, shape: String): Prepare? {
            if (access != READ && access != WRITE) return null
            return Prepare(name, PreparedPlan(isWrite = access == WRITE, shape))
        }
    }
}
