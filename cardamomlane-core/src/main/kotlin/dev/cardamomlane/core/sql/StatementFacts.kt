package dev.cardamomlane.core.sql

import kotlinx.collections.immutable.ImmutableList

/**
 * What [StatementReader] found in the text of one or more statements.
 *
 * @property kind the kind of the statement that restricts routing most
 * @property tables the tables named, in the order of their first mention and without names of common table
 *   expressions. Unquoted names are in lower case; the schema is kept, except for `public`
 * @property marker the name in a leading comment such as `/* lane:legend */`
 * @property count the number of statements that are not empty
 * @property readOnly true for `BEGIN READ ONLY` and for a SET that makes transactions read only
 * @property unsupportedReason a phrase that tells the caller what is not supported; not null exactly if [kind] is
 *   [StatementKind.UNSUPPORTED]
 * @property setName the name in SET, SHOW or RESET in lower case. `SET TRANSACTION` has the name `transaction`,
 *   `SET SESSION CHARACTERISTICS` has `session characteristics`, RESET ALL has `all`
 * @property setValue the value of SET as written, so that it can be put after `SET name TO`; null for DEFAULT
 * @property setLocal true if the effect of SET ends with the transaction
 */
public data class StatementFacts(
    val kind: StatementKind,
    val tables: ImmutableList<String>,
    val marker: String?,
    val count: Int,
    val readOnly: Boolean,
    val unsupportedReason: String?,
    val setName: String?,
    val setValue: String?,
    val setLocal: Boolean = false,
)
