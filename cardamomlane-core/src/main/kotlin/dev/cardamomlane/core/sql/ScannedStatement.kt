package dev.cardamomlane.core.sql

/** What [StatementScanner] found in one statement. The properties mean the same as in [StatementFacts]. */
internal class ScannedStatement(
    val kind: StatementKind,
    val tables: Collection<String> = emptyList(),
    val readOnly: Boolean = false,
    val unsupportedReason: String? = null,
    val setName: String? = null,
    val setValue: String? = null,
    val setLocal: Boolean = false,
)
