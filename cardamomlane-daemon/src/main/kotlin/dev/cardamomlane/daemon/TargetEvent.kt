package dev.cardamomlane.daemon

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** What the data path observed on a target. Events are hints for the monitoring of its group, never proof. */
public sealed interface TargetEvent {
    public val target: TargetId

    /** A connection to the target could not be opened, was reset, or stayed silent. */
    public data class Failed(override val target: TargetId, val reason: String) : TargetEvent

    /** The position check of a read showed that the target had applied its log up to [applied]. */
    public data class Applied(override val target: TargetId, val applied: LogPosition) : TargetEvent

    /** The target refused a write as read only, so it is not the primary any more. */
    public data class NotPrimary(override val target: TargetId) : TargetEvent

    /** A statement finished after [serviceMillis] on the target. */
    public data class Served(override val target: TargetId, val serviceMillis: Long) : TargetEvent

    /** A majority confirmed a write at [position] in the target's term. */
    public data class Acknowledged(override val target: TargetId, val position: LogPosition) : TargetEvent
}
