package dev.cardamomlane.standin.lane.load

/**
 * What a caller does in one operation.
 *
 * @property statementCount the reads and writes of a transaction, 0 if it is a single statement
 */
internal enum class OperationKind(val mayWrite: Boolean, val statementCount: Int) {
    READ(mayWrite = false, statementCount = 0),
    WRITE(mayWrite = true, statementCount = 0),
    READ_TRANSACTION(mayWrite = false, statementCount = 3),
    TRANSACTION(mayWrite = true, statementCount = 4),
}
