package dev.cardamomlane.wire

/** What the name in a Describe or Close message refers to. */
public enum class NameKind(internal val code: Char) {
    STATEMENT('S'),
    PORTAL('P'),
    ;

    internal companion object {
        fun decode(code: Byte): NameKind = entries.find { it.code.code == code.toInt() }
            ?: throw MalformedMessageException("a Describe or Close message names the unknown kind $code")
    }
}
