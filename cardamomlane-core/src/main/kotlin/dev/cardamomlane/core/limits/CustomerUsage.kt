package dev.cardamomlane.core.limits

/**
 * What one host says of one customer.
 *
 * @property demandPerSecond how many requests a second the customer asked of it lately
 * @property admittedCount how many requests of the customer the host has let run since it started
 */
public data class CustomerUsage(val demandPerSecond: Double, val admittedCount: Long)
