package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer

/** Receives the events of one connection to a target, always on the event loop. */
public interface TargetLinkListener {
    /** The target accepted the connection; its log ends at [position], or at an unknown position when null. */
    public fun onOpened(position: LogPosition?)

    /** The target refused the connection. */
    public fun onRefused(error: StatementError)

    /** The oldest statement without an answer got its whole [answer]. */
    public fun onAnswer(answer: TargetAnswer)

    /** The connection ended or could not be opened. */
    public fun onClosed()
}
