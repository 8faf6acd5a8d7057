package dev.cardamomlane.engine.target

import dev.cardamomlane.engine.statement.TargetAnswer

/** Opens connections to targets. */
public interface TargetDialer {
    /**
     * Starts to open a connection to [target] on behalf of [customerName] and returns at once.
     *
     * The target is told which id is expected of it, so that a reused address runs nothing.
     */
    public fun dial(target: TargetEntry, customerName: String, listener: TargetLinkListener): TargetLink

    /** Reads the answer to a status question, or returns null when it is an error or can't be read. */
    public fun readStatus(answer: TargetAnswer): TargetStatus?
}
