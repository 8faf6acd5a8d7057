package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.SourceLocation
import kotlinx.collections.immutable.ImmutableList

/**
 * One rule of a rule file.
 *
 * @property databases holds [DatabasePattern.ANY] when the rule names no database
 * @property tables the tables it covers; empty when it covers statements on any table
 * @property customers the customers it covers; empty when it covers every caller
 * @property marker the marker that a statement must carry, or null
 * @property access the statements it covers, or null for both sides
 * @property requester who asked for the rule
 */
public data class Rule(
    val name: String,
    val databases: ImmutableList<DatabasePattern>,
    val tables: ImmutableList<String>,
    val customers: ImmutableList<CustomerId>,
    val marker: String?,
    val access: StatementAccess?,
    val priorityClass: Int,
    val maxAgeMillis: Long?,
    val repeatable: Boolean,
    val open: Boolean,
    val requester: String,
    val location: SourceLocation,
)
