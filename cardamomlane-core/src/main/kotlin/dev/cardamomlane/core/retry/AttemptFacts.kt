package dev.cardamomlane.core.retry

/**
 * What is known of an attempt that ended without a complete answer.
 *
 * @property sent whether any byte of the request may have reached the target
 * @property refusedByTarget whether the target itself reported that it did not run the request
 * @property discardedAsStale whether it was a read whose position check failed, so that its answer was discarded unseen
 * @property repeatable whether the matching rule allows the request to run more than once
 * @property inTransaction whether earlier statements of the same transaction ran on the target
 * @property answered whether part of the answer was passed to the caller
 */
public data class AttemptFacts(
    val sent: Boolean,
    val refusedByTarget: Boolean = false,
    val discardedAsStale: Boolean = false,
    val repeatable: Boolean = false,
    val inTransaction: Boolean = false,
    val answered: Boolean = false,
)
