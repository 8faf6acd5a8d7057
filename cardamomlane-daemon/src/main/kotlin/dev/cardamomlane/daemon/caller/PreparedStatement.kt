package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.sql.StatementFacts
import java.security.MessageDigest
import java.util.HexFormat

/**
 * A statement that a caller prepared. It outlives the target connections on which the daemon prepares it.
 *
 * @property serverName the statement's name on target connections, a hash of its text and parameter types, so that
 *   callers share prepared statements
 */
internal class PreparedStatement(val sql: String, val parameterOids: List<Int>, val facts: StatementFacts) {
    val serverName: String by lazy { "cl_" + digest(sql, parameterOids) }

    private companion object {
        const val NAME_BYTES = 16

        fun digest(sql: String, oids: List<Int>): String {
            val sha = MessageDigest.getInstance("SHA-256")
            sha.update(oids.joinToString(",").toByteArray())
            sha.update(0)
            return HexFormat.of().formatHex(sha.digest(sql.toByteArray()), 0, NAME_BYTES)
        }
    }
}
