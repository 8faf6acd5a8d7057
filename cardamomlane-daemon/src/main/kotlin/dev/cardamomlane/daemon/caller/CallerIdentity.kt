package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.keys.KeyId

/** Who a session runs for. [key] is null for a caller without a key, which may only use routes open to all. */
internal data class CallerIdentity(val customer: CustomerId, val key: KeyId?)
