package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId

/**
 * Finds the most specific rule that covers a statement.
 *
 * The index is a tree of hash maps with one level for each criterion: database, table, customer, marker, statement. At
 * each level the branch for the given value is tried before the branch for any value. A database name is tried before
 * the prefixes, and a longer prefix before a shorter one. The number of lookups depends on the number of levels and of
 * distinct prefix lengths, not on the number of rules.
 */
internal class RuleIndex(rules: List<Rule>) {
    private val exactDatabases = HashMap<String, Node>()
    private val databasePrefixes = HashMap<String, Node>()
    private val prefixLengths: IntArray

    /**
     * The rules that never match, because earlier rules have all of their combinations of values. Maps each to the
     * earlier rule that has its last combination.
     */
    val shadowed: Map<Rule, Rule>

    init {
        shadowed = rules.mapNotNull { rule -> insert(rule)?.let { rule to it } }.toMap()
        prefixLengths = databasePrefixes.keys.map { it.length }.distinct().sortedDescending().toIntArray()
    }

    /**
     * Returns the most specific rule for the given values, or null if none covers them. A null [table], [customer] or
     * [marker] is covered only by rules that name none.
     */
    fun find(
        database: DatabaseId,
        table: String?,
        customer: CustomerId?,
        marker: String?,
        access: StatementAccess,
    ): Rule? {
        val path = arrayOf(table, customer?.value, marker, access.word)
        exactDatabases[database.value]?.find(path, 0)?.let { return it }
        for (length in prefixLengths) {
            if (length > database.value.length) continue
            databasePrefixes[database.value.substring(0, length)]?.find(path, 0)?.let { return it }
        }
        return null
    }

    /**
     * Adds [rule] for each combination of its values that no earlier rule has. Returns null if it added any, else the
     * earlier rule that has the last combination.
     */
    private fun insert(rule: Rule): Rule? {
        var added = false
        var earlier: Rule? = null
        for (database in rule.databases) {
            val root = rootOf(database)
            for (path in pathsOf(rule)) {
                val leaf = path.fold(root) { node, key -> node.children.getOrPut(key) { Node() } }
                earlier = leaf.rule
                if (earlier == null) leaf.rule = rule
                added = added || earlier == null
            }
        }
        return if (added) null else earlier
    }

    private fun rootOf(database: DatabasePattern): Node = if (database.isPrefix) {
        databasePrefixes.getOrPut(database.prefix) { Node() }
    } else {
        exactDatabases.getOrPut(database.text) { Node() }
    }

    private fun pathsOf(rule: Rule): List<List<String>> {
        val tables = rule.tables.ifEmpty { listOf(ANY) }
        val customers = rule.customers.map { it.value }.ifEmpty { listOf(ANY) }
        return tables.flatMap { table ->
            customers.map { listOf(table, it, rule.marker ?: ANY, rule.access?.word ?: ANY) }
        }
    }

    /** A node of the tree. Only the nodes of the last level hold a [rule]. */
    private class Node {
        val children = HashMap<String, Node>(2)
        var rule: Rule? = null

        fun find(path: Array<String?>, level: Int): Rule? {
            if (level == path.size) return rule
            val key = path[level]
            if (key != null) children[key]?.find(path, level + 1)?.let { return it }
            return children[ANY]?.find(path, level + 1)
        }
    }

    private companion object {
        /** The key of the branch for any value. */
        const val ANY = ""
    }
}
