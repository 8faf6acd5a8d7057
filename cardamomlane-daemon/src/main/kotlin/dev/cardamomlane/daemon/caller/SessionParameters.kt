package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementKind
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/**
 * The session parameters that a caller changed, which are restored on each target connection that serves it.
 *
 * A change inside a transaction counts only when the transaction commits.
 */
internal class SessionParameters(startup: Map<String, String>) {
    private val defaults: PersistentMap<String, String> = startup.entries
        .filter { it.key.lowercase() in TRACKED }
        .associate { it.key.lowercase() to quote(it.value) }
        .toPersistentMap()

    /** The values in force, as SQL text, by the lower-case name of the parameter. */
    var committed: PersistentMap<String, String> = defaults
        private set
    private var pending: PersistentMap<String, String> = defaults

    /** Takes a SET or RESET that succeeded. */
    fun onChanged(statement: StatementFacts) {
        val name = statement.setName ?: return
        if (statement.setLocal || statement.kind !in CHANGES) return
        when {
            statement.kind == StatementKind.RESET && name == ALL -> pending = defaults
            name !in TRACKED -> Unit
            statement.kind == StatementKind.SET && statement.setValue != null ->
                pending = pending.put(name, checkNotNull(statement.setValue))
            else -> pending = defaults[name]?.let { pending.put(name, it) } ?: pending.remove(name)
        }
    }

    /** Takes the end of a transaction, or of a statement outside one. */
    fun onTransactionEnd(committedChanges: Boolean) {
        if (committedChanges) committed = pending else pending = committed
    }

    /** The statements that change a connection with the parameters [current] to this session's, or null if none need. */
    fun restoreSql(current: Map<String, String>): String? {
        if (current == committed) return null
        val resets = current.keys.filter { it !in committed }.map { "RESET $it" }
        val sets = committed.filter { (name, value) ->
            current[name] != value
        }.map { (name, value) -> "SET $name TO $value" }
        return (resets + sets).joinToString("; ").ifEmpty { null }
    }

    companion object {
        private const val ALL = "all"

        private val TRACKED =
            setOf("application_name", "timezone", "datestyle", "extra_float_digits", "search_path", "statement_timeout")

        private val CHANGES = setOf(StatementKind.SET, StatementKind.RESET)

        /** Parameters that a SET may name without effect, because only one value is allowed. */
        private val FIXED = setOf("client_encoding", "standard_conforming_strings")

        fun mayChange(statement: StatementFacts): Boolean =
            statement.setLocal || statement.setName in TRACKED || statement.setName in FIXED

        /** RESET ALL would also reset parameters that the daemon set for itself. */
        fun mayReset(statement: StatementFacts): Boolean = statement.setName in TRACKED || statement.setName in FIXED

        private fun quote(value: String): String = "'" + value.replace("'", "''") + "'"
    }
}
