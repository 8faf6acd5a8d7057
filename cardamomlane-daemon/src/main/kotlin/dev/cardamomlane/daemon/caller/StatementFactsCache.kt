package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementReader

/**
 * Caches what was parsed from recent statements, by their SQL text.
 *
 * The least recently used entry is evicted. Texts of more than [maxTextLength] characters are parsed each time.
 */
internal class StatementFactsCache(private val maxEntries: Int = 4_096, private val maxTextLength: Int = 2_048) {
    private val entries = object : LinkedHashMap<String, StatementFacts>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, StatementFacts>): Boolean = size > maxEntries
    }

    fun read(sql: String): StatementFacts {
        if (sql.length > maxTextLength) return StatementReader.read(sql)
        return entries.getOrPut(sql) { StatementReader.read(sql) }
    }
}
