package dev.cardamomlane.engine.config

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance

/** A customer and its rate limit over all hosts together; null means no limit. */
public data class Customer(val id: CustomerId, val allowance: Allowance?)
