package dev.cardamomlane.wire

/** What ReadyForQuery says of the session's transaction. */
public enum class TransactionStatus(internal val code: Char) {
    /** No transaction is open. */
    IDLE('I'),

    /** A transaction is open. */
    OPEN('T'),

    /** A transaction is open and refuses all but its end. */
    FAILED('E'),
    ;

    internal companion object {
        fun decode(code: Byte): TransactionStatus = entries.find { it.code.code == code.toInt() }
            ?: throw MalformedMessageException("ReadyForQuery holds the unknown status $code")
    }
}
