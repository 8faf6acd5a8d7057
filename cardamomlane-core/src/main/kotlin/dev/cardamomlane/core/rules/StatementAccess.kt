package dev.cardamomlane.core.rules

import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementKind

/** The values of the `statement` criterion of a rule. */
public enum class StatementAccess {
    READ,
    WRITE,
    ;

    /** How a rule file writes this value. */
    public val word: String = name.lowercase()

    public companion object {
        /** Classifies a statement. Whatever is not known to be a read counts as a write. */
        public fun of(facts: StatementFacts): StatementAccess = when (facts.kind) {
            StatementKind.READ, StatementKind.SHOW -> READ
            StatementKind.BEGIN -> if (facts.readOnly) READ else WRITE
            else -> WRITE
        }
    }
}
