package dev.cardamomlane.core.fleet

/**
 * The lease of one host as the platform's table stores it.
 *
 * @property rowVersion increases with each renewal
 * @property isRetired true if the incarnation stopped or an operator declared it ended; it never serves again
 */
public data class LeaseRow(val member: Member, val rowVersion: Long, val isRetired: Boolean)
