package dev.cardamomlane.standin.lane.target

/** A statement of the line protocol. */
internal sealed interface LineStatement {
    data class Begin(val isReadOnly: Boolean) : LineStatement

    data object Commit : LineStatement

    data object Rollback : LineStatement

    data class Read(val item: String) : LineStatement

    data class Write(val item: String, val data: String) : LineStatement

    data class Set(val name: String, val value: String) : LineStatement

    data class Prepare(val name: String, val isWrite: Boolean) : LineStatement

    /** [data] is null when the statement names none. */
    data class Execute(val name: String, val item: String, val data: String?) : LineStatement

    data class Deallocate(val name: String) : LineStatement

    data object Reset : LineStatement

    data object Status : LineStatement

    data class Demote(val term: Long) : LineStatement

    data class Pause(val term: Long) : LineStatement

    data object Resume : LineStatement

    data object Malformed : LineStatement

    companion object {
        /** Returns [Malformed] if [text] is no statement. */
        fun parse(text: String): LineStatement {
            val words = text.split(' ')
            return when (words.first()) {
                "BEGIN" -> Begin(isReadOnly = words.getOrNull(1) == "READ")
                "COMMIT" -> Commit
                "ROLLBACK" -> Rollback
                "READ" -> words.getOrNull(1)?.let(::Read)
                "WRITE" -> words.getOrNull(1)?.let { Write(it, text.afterWords(2)) }
                "SET" -> words.getOrNull(1)?.let { Set(it, text.afterWords(2)) }
                "PREPARE" -> words.getOrNull(2)?.let { Prepare(words[1], isWrite = it == "WRITE") }
                "EXEC" -> words.getOrNull(2)?.let { Execute(words[1], it, text.afterWords(3).ifEmpty { null }) }
                "CLOSE" -> words.getOrNull(1)?.let(::Deallocate)
                else -> parseControl(words)
            } ?: Malformed
        }

        private fun parseControl(words: List<String>): LineStatement? = when (words.first()) {
            "RESET" -> Reset
            "STATUS" -> Status
            "DEMOTE" -> words.getOrNull(1)?.toLongOrNull()?.let(::Demote)
            "PAUSE" -> words.getOrNull(1)?.toLongOrNull()?.let(::Pause)
            "RESUME" -> Resume
            else -> null
        }

        private fun String.afterWords(count: Int): String = split(' ', limit = count + 1).getOrElse(count) { "" }
    }
}
