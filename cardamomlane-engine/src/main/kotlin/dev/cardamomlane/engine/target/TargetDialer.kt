package dev.cardamomlane.engine.target

import dev.cardamomlane.engine.statement.TargetAnswer

/** Opens connections to targets. */
public interface TargetDialer {
    /**
     * Starts to open a connection to [target] on behalf of [customerName] and returns at once. [listener] receives
     * the outcome.
     *
     * The connection names the id of [target], so that another target which now has the same address refuses it.
     */
    public fun dial(target: TargetEntry, customerName: String, listener: TargetLinkListener): TargetLink

    /** Reads the answer to `TargetStatement.Status`, or returns null when it is an error or can't be read. */
    public fun readStatus(answer: TargetAnswer): TargetStatus?
}
