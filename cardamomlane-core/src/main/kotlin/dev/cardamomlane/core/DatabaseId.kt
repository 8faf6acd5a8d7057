package dev.cardamomlane.core

import kotlinx.serialization.Serializable

/** The name of one database group, as callers give it when they connect. */
@Serializable
@JvmInline
public value class DatabaseId(public val value: String) : Comparable<DatabaseId> {
    init {
        require(value.isNotBlank()) { "database name must not be blank" }
    }

    override fun compareTo(other: DatabaseId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
