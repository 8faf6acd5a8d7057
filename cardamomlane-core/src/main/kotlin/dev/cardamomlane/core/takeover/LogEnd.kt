package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition

/** Makes the positions that targets report comparable across a change of the primary. */
public object LogEnd {
    /**
     * The end of a log that is reported as [received], given that the newest primary began its term with a log up to
     * [startOfTerm].
     *
     * A replica may report the new term as soon as it follows the new primary, before it has received anything from it. Its
     * log then ends before the start of that term, whatever term it reports.
     */
    public fun of(received: LogPosition, startOfTerm: LogPosition?): LogPosition {
        val isOfNewTerm = startOfTerm != null && received.term > startOfTerm.term
        return if (isOfNewTerm &&
            received.offset < startOfTerm.offset
        ) {
            received.copy(term = startOfTerm.term)
        } else {
            received
        }
    }
}
