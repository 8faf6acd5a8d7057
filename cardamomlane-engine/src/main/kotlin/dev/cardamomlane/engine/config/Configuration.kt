package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * One version of the operators' configuration.
 *
 * @property customersByKey a key names at most one customer
 * @property transactionIdleMillis how long a transaction may rest before the proxy may end it
 */
public class Configuration(
    public val version: Long,
    public val routes: ImmutableMap<String, Route>,
    public val customersByKey: ImmutableMap<String, Customer>,
    public val groups: ImmutableMap<DatabaseId, GroupPolicy>,
    public val transactionIdleMillis: Long,
) {
    public companion object {
        /** The state before any configuration is known. */
        public val NONE: Configuration =
            Configuration(
                version = -1,
                routes = persistentMapOf(),
                customersByKey = persistentMapOf(),
                groups = persistentMapOf(),
                transactionIdleMillis = 3_000,
            )
    }
}
