package dev.cardamomlane.core.retry

/** What happens to a request after an attempt ended without a complete answer. */
public enum class AttemptOutcome {
    /** It did not run. It may be sent to another target, or be refused as `not run`. */
    NOT_RUN,

    /** It may have run, and it may run again on another target, within the retry budget. */
    REPEAT,

    /** It may have run and must not run again. The caller gets the error `outcome unknown`. */
    UNKNOWN,

    /** It did not run, but the transaction that it belongs to is lost. The caller receives an error. */
    TRANSACTION_LOST,
}

/** Decides from [facts] what happens to a request. A request that may have run counts as run. */
public fun outcomeOf(facts: AttemptFacts): AttemptOutcome {
    val hasNotRun = !facts.sent || (facts.refusedByTarget && !facts.answered)
    return when {
        facts.inTransaction -> if (hasNotRun) AttemptOutcome.TRANSACTION_LOST else AttemptOutcome.UNKNOWN
        hasNotRun -> AttemptOutcome.NOT_RUN
        facts.answered -> AttemptOutcome.UNKNOWN
        facts.discardedAsStale || facts.repeatable -> AttemptOutcome.REPEAT
        else -> AttemptOutcome.UNKNOWN
    }
}
