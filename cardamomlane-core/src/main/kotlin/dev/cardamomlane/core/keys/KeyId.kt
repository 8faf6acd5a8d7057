package dev.cardamomlane.core.keys

/** The public identifier of one key. Unlike the key, it may be logged and listed. */
@JvmInline
public value class KeyId(public val value: String) : Comparable<KeyId> {
    init {
        require(value.isNotBlank()) { "key id must not be blank" }
    }

    override fun compareTo(other: KeyId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
