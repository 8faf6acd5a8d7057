package dev.cardamomlane.store

import java.net.URI

/**
 * How to connect to a table through the DynamoDB API.
 *
 * @property timeoutMillis the timeout of one request, including the time to connect
 */
public class DynamoSettings(
    public val endpoint: URI,
    public val tableName: String,
    public val region: String,
    public val accessKey: String,
    public val secretKey: String,
    public val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) {
    init {
        require(endpoint.scheme in setOf("http", "https")) {
            "endpoint must be an http or https address but is $endpoint"
        }
        require(tableName.isNotBlank()) { "tableName must not be blank" }
        require(timeoutMillis > 0) { "timeoutMillis must be positive but was $timeoutMillis" }
    }

    /** Omits the credentials, because this text stands in error messages. */
    override fun toString(): String = "$tableName at $endpoint"

    public companion object {
        /**
         * Two attempts must fit into [dev.cardamomlane.core.fleet.FleetTimings.standingMillis], for which a host stays
         * in good standing after a read of the platform.
         */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 1_200
    }
}
