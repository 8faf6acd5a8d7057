package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/** One initial row of the platform's table: a key `partition/sort` and a value in JSON. */
@Serializable
public data class RowSettings(public val key: String, public val value: String)
