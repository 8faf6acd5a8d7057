package dev.cardamomlane.core.sql

internal class ScannedStatement(
    val kind: StatementKind,
    val tables: Collection<String> = emptyList(),
    val readOnly: Boolean = false,
    val unsupportedReason: String? = null,
    val setName: String? = null,
    val setValue: String? = null,
    val setLocal: Boolean = false,
)
