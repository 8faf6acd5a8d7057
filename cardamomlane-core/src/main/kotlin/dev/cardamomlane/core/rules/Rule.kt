package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.SourceLocation
import kotlinx.collections.immutable.ImmutableList

/**
 * One rule of a rule file.
 *
 * The properties from [databases] to [access] are the criteria that a statement must meet for the rule to cover it.
 * Those from [priorityClass] to [open] have the same meaning as in [RuleDecision].
 *
 * @property databases the databases it covers; [DatabasePattern.ANY] alone if the rule names no database
 * @property tables the tables it covers; empty if it covers statements on any table
 * @property customers the customers it covers; empty if it covers every caller, with or without a key
 * @property marker the marker that a statement must have, or null if it needs none
 * @property access whether it covers reads or writes, or null for both
 * @property requester who asked for the rule, from the comment at the end of its line
 * @property location the location of the name of the rule
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
