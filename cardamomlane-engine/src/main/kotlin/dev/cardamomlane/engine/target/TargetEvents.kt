package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition

/** Hears from a [Target] what concerns its group. */
public interface TargetEvents {
    /** A slot or a connection may have become free. */
    public fun onCapacity(target: Target)

    /** The target can't be reached any more. */
    public fun onUnreachable(target: Target)

    /** The target answered a question sent at [askedAtMillis]; its log ended at [position]. */
    public fun onPosition(target: Target, askedAtMillis: Long, position: LogPosition)
}
