package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.sql.StatementFacts
import java.security.MessageDigest
import java.util.HexFormat

/**
 * A statement that a caller prepared, which outlives the target connections that it is prepared on.
 *
 * @property serverName the name on target connections: the same for the same text and types, so callers share it
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
