package dev.cardamomlane.core.limits

/**
 * One host's report on one customer.
 *
 * @property demandPerSecond the smoothed rate of the customer's requests at the host, admitted or not
 * @property admittedCount the number of the customer's requests that the host has admitted since it started
 */
public data class CustomerUsage(val demandPerSecond: Double, val admittedCount: Long)
