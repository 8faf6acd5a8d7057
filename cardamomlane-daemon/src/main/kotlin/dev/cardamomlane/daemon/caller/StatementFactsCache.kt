package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementReader

/** Keeps what was read from statements that callers send often. */
internal class StatementFactsCache(private val maxEntries: Int = 4_096, private val maxTextLength: Int = 2_048) {
    private val entries = object : LinkedHashMap<String, StatementFacts>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, StatementFacts>): Boolean = size > maxEntries
    }

    fun read(sql: String): StatementFacts {
        if (sql.length > maxTextLength) return StatementReader.read(sql)
        return entries.getOrPut(sql) { StatementReader.read(sql) }
    }
}
