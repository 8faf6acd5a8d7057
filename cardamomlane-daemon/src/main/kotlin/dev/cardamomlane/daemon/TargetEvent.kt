package dev.cardamomlane.daemon

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/** What the data path saw of a target. Hints for the watch of the group, never proofs. */
public sealed interface TargetEvent {
    public val target: TargetId

    /** A connection could not be opened, was reset, or stayed silent. */
    public data class Failed(override val target: TargetId, val reason: String) : TargetEvent

    /** A read's position check answered; [applied] is what the target had applied. */
    public data class Applied(override val target: TargetId, val applied: LogPosition) : TargetEvent

    /** The target refused a write as read only, so it is not the primary any more. */
    public data class NotPrimary(override val target: TargetId) : TargetEvent

    /** A statement finished after [serviceMillis] on the target. */
    public data class Served(override val target: TargetId, val serviceMillis: Long) : TargetEvent

    /** A majority confirmed a write at [position] in the target's term. */
    public data class Acknowledged(override val target: TargetId, val position: LogPosition) : TargetEvent
}
