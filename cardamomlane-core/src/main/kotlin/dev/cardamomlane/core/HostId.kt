package dev.cardamomlane.core

/** The name of one proxy host, unique in the fleet. */
@JvmInline
public value class HostId(public val value: String) : Comparable<HostId> {
    init {
        require(value.isNotBlank()) { "host name must not be blank" }
    }

    override fun compareTo(other: HostId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
