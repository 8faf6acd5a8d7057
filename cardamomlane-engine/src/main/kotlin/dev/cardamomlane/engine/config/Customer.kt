package dev.cardamomlane.engine.config

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance

/** A customer with its rate over all hosts; without [allowance] it has no limit. */
public data class Customer(val id: CustomerId, val allowance: Allowance?)
