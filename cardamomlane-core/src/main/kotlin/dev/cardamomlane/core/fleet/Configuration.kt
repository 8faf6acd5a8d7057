package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.rules.RuleSet

/**
 * The configuration that operators set, at one revision.
 *
 * @property revision counts up from 1; revision 0 is [EMPTY]
 * @property rulesText the text that [rules] was parsed from
 */
public data class Configuration(val revision: Long, val rules: RuleSet, val rulesText: String, val keys: KeyRing) {
    init {
        SequenceNumbers.requireValid("revision", revision)
    }

    public companion object {
        /** In force before the first revision: no customers, no keys, and the safe choice for every statement. */
        public val EMPTY: Configuration = Configuration(revision = 0, RuleSet.EMPTY, rulesText = "", KeyRing.EMPTY)
    }
}
