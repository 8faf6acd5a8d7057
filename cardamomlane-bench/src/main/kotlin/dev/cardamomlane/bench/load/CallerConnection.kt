package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.DaemonEndpoint
import org.postgresql.PGConnection
import java.sql.Connection
import java.sql.DriverManager
import java.util.Properties

/** A connection of the unmodified PostgreSQL JDBC driver to a daemon. */
internal class CallerConnection private constructor(val daemon: DaemonEndpoint, val jdbc: Connection) : AutoCloseable {
    /** The position of the last acknowledged write, as the daemon reported it, or null before the first report. */
    val position: String?
        get() = jdbc.unwrap(PGConnection::class.java).getParameterStatus(POSITION)

    override fun close() {
        runCatching { jdbc.close() }
    }

    companion object {
        private const val POSITION = "cardamomlane.position"

        /**
         * Opens a connection that the caller closes. Blocks.
         *
         * @param position the minimum position that the session starts with, or null for none
         * @param simpleQueries whether to use the simple query protocol in place of the extended one
         * @throws java.sql.SQLException if the daemon can't be reached or refuses the connection
         */
        fun open(
            daemon: DaemonEndpoint,
            database: String,
            customer: CustomerKey,
            position: String? = null,
            simpleQueries: Boolean = false,
            answerTimeoutSeconds: Int = 20,
        ): CallerConnection {
            val properties = Properties()
            properties["user"] = customer.name
            properties["password"] = customer.key
            properties["sslmode"] = "disable"
            properties["gssEncMode"] = "disable"
            properties["connectTimeout"] = "5"
            properties["loginTimeout"] = "10"
            properties["socketTimeout"] = answerTimeoutSeconds.toString()
            properties["prepareThreshold"] = "1"
            if (simpleQueries) properties["preferQueryMode"] = "simple"
            position?.let { properties["options"] = "-c $POSITION=$it" }
            val jdbc = DriverManager.getConnection("jdbc:postgresql://${daemon.address}/$database", properties)
            return CallerConnection(daemon, jdbc)
        }
    }
}
