package dev.cardamomlane.core.rules

/**
 * One rule held against a statement.
 *
 * @property mismatch why the rule does not cover the statement, or null when it does
 */
public data class ConsideredRule(val rule: Rule, val mismatch: String?)
