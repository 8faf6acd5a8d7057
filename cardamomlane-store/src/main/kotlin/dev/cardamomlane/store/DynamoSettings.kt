package dev.cardamomlane.store

import java.net.URI

/**
 * How to reach a table through the DynamoDB API.
 *
 * @property timeoutMillis the most time that one request may take, connecting included
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

    /** Leaves the credentials out. */
    override fun toString(): String = "$tableName at $endpoint"

    public companion object {
        /** Short enough for two tries within the bound of good standing. */
        public const val DEFAULT_TIMEOUT_MILLIS: Long = 1_200
    }
}
