package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.keys.KeyId

/**
 * The customer that a session runs for and the key that its caller presented.
 *
 * [key] is null for a caller without a key, which may run only statements whose rule is `open`.
 */
internal data class CallerIdentity(val customer: CustomerId, val key: KeyId?)
