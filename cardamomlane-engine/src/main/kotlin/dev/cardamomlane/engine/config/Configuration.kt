package dev.cardamomlane.engine.config

import dev.cardamomlane.core.DatabaseId
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * One version of the operators' configuration.
 *
 * @property version rises with each change; negative before any configuration is known
 * @property routes the routes by the database name that callers use
 * @property customersByKey the customers by the keys that callers present
 * @property transactionIdleMillis how long an open transaction may wait for its next statement before it is rolled back
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
