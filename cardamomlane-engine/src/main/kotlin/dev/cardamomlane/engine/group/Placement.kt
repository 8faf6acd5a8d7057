package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition

/** Where a statement may run. */
internal sealed interface Placement {
    /** Only at the primary. */
    data object Primary : Placement

    /** On any target whose log contains [position], and at the primary, whose log may have been restored to an earlier one. */
    data class AnyAtPosition(val position: LogPosition) : Placement
}
