package dev.cardamomlane.standin.lane.store

import java.util.Arrays

/** The name of a row. Names are ordered by table and part first, and by the bytes of the key last. */
internal data class RowName(val table: String, val part: String, val key: String) : Comparable<RowName> {
    override fun compareTo(other: RowName): Int {
        val byTable = compareBytes(table, other.table)
        if (byTable != 0) return byTable
        val byPart = compareBytes(part, other.part)
        return if (byPart != 0) byPart else compareBytes(key, other.key)
    }

    private fun compareBytes(left: String, right: String): Int =
        Arrays.compareUnsigned(left.toByteArray(), right.toByteArray())
}
