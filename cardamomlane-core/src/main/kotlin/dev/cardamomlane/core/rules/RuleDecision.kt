package dev.cardamomlane.core.rules

/**
 * How one statement is run.
 *
 * @property ruleName the rule that decided, or null if none matched
 * @property priorityClass 1 to 9, where 1 is the most urgent
 * @property maxAgeMillis the maximum age of the data that the caller accepts, so that a replica may answer; null if
 *   only the primary may answer
 * @property repeatable whether the statement may run more than once
 * @property open whether the statement runs for callers without a key
 */
public data class RuleDecision(
    val ruleName: String?,
    val priorityClass: Int,
    val maxAgeMillis: Long?,
    val repeatable: Boolean,
    val open: Boolean,
) {
    public companion object {
        /** The priority class of a statement that no rule matches. */
        public const val DEFAULT_CLASS: Int = 5

        /**
         * The decision on a statement that no rule matches. It grants no permission: the statement runs only on the
         * primary, at most once and only for a caller with a key.
         */
        public val UNMATCHED: RuleDecision =
            RuleDecision(ruleName = null, DEFAULT_CLASS, maxAgeMillis = null, repeatable = false, open = false)
    }
}
