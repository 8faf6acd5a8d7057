package dev.cardamomlane.wire

/** The status of the session's transaction that ReadyForQuery reports. */
public enum class TransactionStatus(internal val code: Char) {
    /** No transaction is open. */
    IDLE('I'),

    /** A transaction is open. */
    OPEN('T'),

    /** A transaction is open and has failed: the server refuses every statement that does not end it. */
    FAILED('E'),
    ;

    internal companion object {
        fun decode(code: Byte): TransactionStatus = entries.find { it.code.code == code.toInt() }
            ?: throw MalformedMessageException("ReadyForQuery holds the unknown transaction status $code")
    }
}
