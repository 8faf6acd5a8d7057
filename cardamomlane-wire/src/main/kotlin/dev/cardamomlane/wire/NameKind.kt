package dev.cardamomlane.wire

/** What a name in a Describe or Close message stands for. */
public enum class NameKind(internal val code: Char) {
    STATEMENT('S'),
    PORTAL('P'),
    ;

    internal companion object {
        fun decode(code: Byte): NameKind = entries.find { it.code.code == code.toInt() }
            ?: throw MalformedMessageException("a name is of the unknown kind $code")
    }
}
