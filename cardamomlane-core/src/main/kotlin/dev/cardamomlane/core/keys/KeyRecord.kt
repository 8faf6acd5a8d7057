package dev.cardamomlane.core.keys

import dev.cardamomlane.core.CustomerId

/**
 * What is stored of one key that is granted to a customer.
 *
 * @property hash a [KeyHash] as text; the key itself is stored nowhere
 */
public data class KeyRecord(val id: KeyId, val customer: CustomerId, val hash: String)
