package dev.cardamomlane.bench.fault

/**
 * Selects a target of a database: the one that is primary when the fault begins, or a fixed one.
 *
 * @property targetIndex the index among the targets of the database, or null for the primary
 */
internal data class TargetChoice(val databaseIndex: Int, val targetIndex: Int?)
