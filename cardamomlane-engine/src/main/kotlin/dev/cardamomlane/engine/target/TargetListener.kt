package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition

/** Receives the events of a [Target] that concern its group, on the event loop. */
public interface TargetListener {
    /** A slot or a connection may have become free. */
    public fun onCapacity(target: Target)

    /** The target is now suspected to be unreachable. */
    public fun onUnreachable(target: Target)

    /** The target refused a write because it is a replica. */
    public fun onReadOnly(target: Target)

    /** The target sent an answer of [kind], which is not certainly the first one to its statement. */
    public fun onUncertainAnswer(target: Target, kind: UncertainAnswer): Unit = Unit

    /** The target answered a request that was sent at [sentAtMillis]; its log ended at [position]. */
    public fun onPosition(target: Target, sentAtMillis: Long, position: LogPosition)
}
