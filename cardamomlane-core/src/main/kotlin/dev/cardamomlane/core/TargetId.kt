package dev.cardamomlane.core

/** The name of one target, unique among the targets of all databases. */
@JvmInline
public value class TargetId(public val value: String) : Comparable<TargetId> {
    init {
        require(value.isNotBlank()) { "target name must not be blank" }
    }

    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
