package dev.cardamomlane.bench.history

import kotlinx.serialization.Serializable

/**
 * One operation of a session, as its caller saw it. Times are monotonic and count from the start of the run.
 *
 * Rows are named `statement#n`, where n counts the rows of that statement that were there before: a statement that
 * ran twice leaves the rows `#0` and `#1`.
 *
 * @property statements the names of the statements whose rows it writes, or the echo that a read expects
 * @property readAuthor the author whose rows a read asked for
 * @property seen the names of the rows that a read returned, without its echo
 * @property echo the constant that a read sent with its query and got back with the rows
 * @property withPosition whether the connection was opened with the position of the session's last write
 * @property detail the error's SQLSTATE, message and detail
 */
@Serializable
internal data class Operation(
    val session: String,
    val number: Long,
    val daemon: String,
    val database: String,
    val customer: String,
    val kind: OperationKind,
    val statements: List<String>,
    val outcome: Outcome,
    val startMicros: Long,
    val endMicros: Long,
    val readAuthor: String? = null,
    val seen: List<String> = emptyList(),
    val echo: String? = null,
    val withPosition: Boolean = false,
    val detail: String? = null,
) {
    val writes: Boolean
        get() = kind != OperationKind.READ

    /** The short form that is printed with a violation. */
    override fun toString(): String =
        "$session/$number $kind $statements at $daemon/$database $startMicros..$endMicros us: $outcome" +
            (detail?.let { " ($it)" } ?: "") +
            if (kind == OperationKind.READ) " read $readAuthor saw ${seen.size} rows" else ""
}
