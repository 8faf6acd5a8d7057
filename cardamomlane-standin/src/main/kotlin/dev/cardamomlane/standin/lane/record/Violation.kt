package dev.cardamomlane.standin.lane.record

/**
 * A broken rule.
 *
 * @property cause in a few words, the same for all violations of one kind
 * @property statementId of the statement that broke it
 * @property text what was sent, run and answered
 */
internal data class Violation(val rule: Rule, val cause: String, val statementId: String, val text: String) {
    /** What callers and targets must be able to rely on. */
    enum class Rule {
        /** A target ran something else than the caller of that statement sent. */
        UNASKED,

        /** A caller was told a success that is not that of a target for its statement. */
        MIXED,

        /** A statement ran with other values, or on another connection or transaction than its own. */
        PINNED,

        /** A write was kept though its caller was told that nothing would be. */
        REFUSED,

        /** A write took effect twice. */
        TWICE,
    }

    override fun toString(): String = "$rule ($cause): $text"
}
