package dev.cardamomlane.core

/** The name of one availability zone. */
@JvmInline
public value class AvailabilityZone(public val value: String) : Comparable<AvailabilityZone> {
    init {
        require(value.isNotBlank()) { "availability zone name must not be blank" }
    }

    override fun compareTo(other: AvailabilityZone): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
