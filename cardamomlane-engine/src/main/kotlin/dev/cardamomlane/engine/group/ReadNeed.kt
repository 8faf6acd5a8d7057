package dev.cardamomlane.engine.group

import dev.cardamomlane.core.LogPosition

/** Where a read may run. */
internal sealed interface ReadNeed {
    /** Only at the primary. */
    data object Primary : ReadNeed

    /** On any target whose log holds [position]. */
    data class AnyHolding(val position: LogPosition) : ReadNeed
}
