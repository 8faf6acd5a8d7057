package dev.cardamomlane.core.retry

/** What becomes of a request after an attempt ended without a whole answer. */
public enum class AttemptOutcome {
    /** It did not run. It may go to another target, or be refused as `not run`. */
    NOT_RUN,

    /** It may have run and may run again, on another target and within the retry budget. */
    REPEAT,

    /** It may have run and must not run again. The caller hears `outcome unknown`. */
    UNKNOWN,

    /** It did not run, but the transaction that it belongs to is lost. The caller hears that. */
    TRANSACTION_LOST,
}

/** Decides what becomes of a request from [facts]. Where they leave a doubt, the request counts as run. */
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
