package dev.cardamomlane.core

/** The name of one customer, as its callers give it when they connect. */
@JvmInline
public value class CustomerId(public val value: String) : Comparable<CustomerId> {
    init {
        require(value.isNotBlank()) { "customer name must not be blank" }
    }

    override fun compareTo(other: CustomerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
