package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementKind
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/**
 * The session parameters that a caller changed, which are set on each target connection before it runs the caller's
 * units.
 *
 * A change inside a transaction is kept only if the transaction commits.
 */
internal class SessionParameters(startup: Map<String, String>) {
    private val defaults: PersistentMap<String, String> = startup.entries
        .filter { it.key.lowercase() in TRACKED }
        .associate { it.key.lowercase() to quote(it.value) }
        .toPersistentMap()

    /** The values that no open transaction can revert, as SQL text, by the lower-case name of the parameter. */
    var committed: PersistentMap<String, String> = defaults
        private set
    private var pending: PersistentMap<String, String> = defaults

    /** Records a SET or RESET that succeeded. */
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

    /** Keeps or reverts the changes at the end of a transaction, or of a statement outside one. */
    fun onTransactionEnd(committedChanges: Boolean) {
        if (committedChanges) committed = pending else pending = committed
    }

    /** Returns SQL that changes a connection's parameters from [current] to [committed], or null if none is needed. */
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

        /** The parameters that a caller may change. */
        private val TRACKED =
            setOf("application_name", "timezone", "datestyle", "extra_float_digits", "search_path", "statement_timeout")

        private val CHANGES = setOf(StatementKind.SET, StatementKind.RESET)

        /** Parameters for which a SET has no effect, because only one value is allowed. */
        private val FIXED = setOf("client_encoding", "standard_conforming_strings")

        fun mayChange(statement: StatementFacts): Boolean =
            statement.setLocal || statement.setName in TRACKED || statement.setName in FIXED

        /** Returns false for RESET ALL, which would also reset parameters that the daemon sets for itself. */
        fun mayReset(statement: StatementFacts): Boolean = statement.setName in TRACKED || statement.setName in FIXED

        private fun quote(value: String): String = "'" + value.replace("'", "''") + "'"
    }
}
