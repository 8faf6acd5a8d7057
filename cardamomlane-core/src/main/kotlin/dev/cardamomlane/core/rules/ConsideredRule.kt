package dev.cardamomlane.core.rules

/**
 * The result of checking one rule against a statement.
 *
 * @property mismatch why the rule does not cover the statement, or null if it does
 */
public data class ConsideredRule(val rule: Rule, val mismatch: String?)
