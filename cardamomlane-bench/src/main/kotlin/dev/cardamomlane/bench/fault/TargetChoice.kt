package dev.cardamomlane.bench.fault

/**
 * Names a target before the run: the primary of a database at that moment, or one by its place.
 *
 * @property targetIndex the place in the group, or null for the primary
 */
internal data class TargetChoice(val databaseIndex: Int, val targetIndex: Int?)
