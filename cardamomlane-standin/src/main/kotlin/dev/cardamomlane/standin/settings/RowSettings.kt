package dev.cardamomlane.standin.settings

import kotlinx.serialization.Serializable

/** One row of the platform's table at the start: a key `partition/rest` and a value in JSON. */
@Serializable
public data class RowSettings(public val key: String, public val value: String)
