package dev.cardamomlane.core.rules

/**
 * How one statement is to be run.
 *
 * @property ruleName the rule that decided, or null when none matched
 * @property priorityClass 1 to 9, where 1 is the most urgent
 * @property maxAgeMillis the greatest age of the data that the caller accepts, which allows replicas; null when only
 *   the primary may answer
 * @property repeatable true when the statement may run more than once
 * @property open true when the statement runs for callers without a key
 */
public data class RuleDecision(
    val ruleName: String?,
    val priorityClass: Int,
    val maxAgeMillis: Long?,
    val repeatable: Boolean,
    val open: Boolean,
) {
    public companion object {
        /** The class of a statement that no rule matches. */
        public const val DEFAULT_CLASS: Int = 5

        /** The safe side: on the primary, at most once, with a key. */
        public val UNMATCHED: RuleDecision =
            RuleDecision(ruleName = null, DEFAULT_CLASS, maxAgeMillis = null, repeatable = false, open = false)
    }
}
