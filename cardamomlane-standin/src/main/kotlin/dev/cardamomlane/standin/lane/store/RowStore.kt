package dev.cardamomlane.standin.lane.store

import java.util.Base64
import java.util.TreeMap

/**
 * The rows of the platform's store, with one version counter for all tables and a history of changes.
 *
 * Not safe for use by several threads.
 */
internal class RowStore {
    private var rows = TreeMap<RowName, StoreRow>()
    private val history = ArrayDeque<StoreRow>()
    private var listeners = emptyList<() -> Unit>()

    /** The version of the newest transaction. */
    var version = 1L
        private set

    /** Counts how often the store was restored from an older copy, from 1. */
    var epoch = 1L
        private set

    /** The feed holds the changes after this version. */
    var historyStart = 0L
        private set

    /** Calls [listener] after each change. The result removes it. */
    fun onChange(listener: () -> Unit): AutoCloseable {
        listeners = listeners + listener
        return AutoCloseable { listeners = listeners - listener }
    }

    /** Applies [transaction] as a whole if its preconditions hold. */
    fun apply(transaction: RowTransaction): TransactionOutcome {
        val isMet = transaction.preconditions.all { (rows[it.name]?.version ?: 0) == it.version }
        if (!isMet) return TransactionOutcome.Conflict(transaction.preconditions.mapNotNull { rows[it.name] })
        version++
        transaction.upserts.forEach(::upsert)
        transaction.removals.forEach { remove(it.name) }
        listeners.forEach { it() }
        return TransactionOutcome.Applied(version)
    }

    /** Writes the row [key] of [table] with any [content], as the operator, a target or a foreign writer does. */
    fun put(table: String, key: String, content: ByteArray) {
        val value = Base64.getEncoder().encodeToString(content)
        apply(RowTransaction(upserts = listOf(StoreRow(table = table, key = key, value = value))))
    }

    /** Removes the row [key] of [table] if it exists. */
    fun remove(table: String, key: String) {
        apply(RowTransaction(removals = listOf(StoreRow(table = table, key = key))))
    }

    /** Returns the row [key] of [table], or null. */
    fun find(table: String, key: String): StoreRow? = rows[RowName(table, part = "", key)]

    /** Returns the rows with keys of [from] to before [to], at most [limit] of them. */
    fun range(table: String, part: String, from: String, to: String?, limit: Int): RowPage {
        val found = rows.tailMap(RowName(table, part, from)).values.asSequence()
            .takeWhile { it.table == table && it.part == part && (to == null || it.name < RowName(table, part, to)) }
            .take(limit + 1).toList()
        return RowPage(found.take(limit), hasMore = found.size > limit)
    }

    /** Returns the parts of [table] after [after], at most [limit] of them. */
    fun parts(table: String, after: String, limit: Int): List<String> =
        rows.keys.asSequence().filter { it.table == table && it.part > after }.map(RowName::part).distinct()
            .take(limit).toList()

    /** Returns the changes of [table] after [after], oldest first. */
    fun changes(table: String, after: Long): List<StoreRow> {
        require(after >= historyStart) { "changes before version $historyStart are no longer held" }
        return history.asReversed().asSequence().takeWhile { it.version > after }.filter { it.table == table }
            .toList().asReversed()
    }

    /** Discards the changes up to now, so that the feed serves only later ones. */
    fun discardHistory() {
        history.clear()
        historyStart = version
    }

    /** Returns a copy that [restore] takes back. */
    fun copy(): StoreCopy = StoreCopy(rows.values.toList(), version)

    /** Replaces all rows and the version by those of [copy], discards the history and begins a new epoch. */
    fun restore(copy: StoreCopy) {
        rows = TreeMap<RowName, StoreRow>().apply { copy.rows.forEach { put(it.name, it) } }
        version = copy.version
        epoch++
        discardHistory()
        listeners.forEach { it() }
    }

    private fun upsert(row: StoreRow) {
        val stored = row.copy(version = version, isDeleted = null)
        rows[row.name] = stored
        addChange(stored)
    }

    private fun remove(name: RowName) {
        if (rows.remove(name) == null) return
        addChange(StoreRow(name.table, name.part, name.key, version = version, isDeleted = true))
    }

    private fun addChange(row: StoreRow) {
        history += row
        while (history.size > MAX_CHANGES) historyStart = history.removeFirst().version
    }

    private companion object {
        const val MAX_CHANGES = 50_000
    }
}
