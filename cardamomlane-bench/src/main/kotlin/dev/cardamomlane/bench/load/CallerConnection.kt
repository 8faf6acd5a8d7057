package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.core.LogPosition
import org.postgresql.PGConnection
import java.sql.Connection
import java.sql.DriverManager
import java.util.Properties

/** One connection of an unmodified driver to a daemon. */
internal class CallerConnection private constructor(val daemon: DaemonEndpoint, val jdbc: Connection) : AutoCloseable {
    /** The position of the last acknowledged write that the daemon reported, or null. */
    val position: LogPosition?
        get() = jdbc.unwrap(PGConnection::class.java).getParameterStatus(POSITION)?.let(LogPosition::parse)

    override fun close() {
        runCatching { jdbc.close() }
    }

    companion object {
        private const val POSITION = "cardamomlane.position"

        fun open(
            daemon: DaemonEndpoint,
            database: String,
            customer: CustomerKey,
            position: LogPosition? = null,
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
