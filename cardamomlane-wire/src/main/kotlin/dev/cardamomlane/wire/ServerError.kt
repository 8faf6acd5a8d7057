package dev.cardamomlane.wire

/**
 * The fields of an ErrorResponse or a NoticeResponse that this project reads and writes.
 *
 * @property sqlState the five-character code of the SQL standard or of PostgreSQL
 * @property detail in the errors that the proxy itself reports, `not run` or `outcome unknown`
 */
public data class ServerError(
    val sqlState: String,
    val message: String,
    val detail: String? = null,
    val hint: String? = null,
    val severity: String = "ERROR",
) {
    init {
        require(sqlState.length == SQL_STATE_LENGTH) { "sqlState must have 5 characters but was \"$sqlState\"" }
    }

    internal companion object {
        const val SQL_STATE_LENGTH = 5
    }
}
