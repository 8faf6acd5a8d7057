package dev.cardamomlane.standin.admin

import kotlinx.serialization.Serializable

/** The body of the answer to a refused admin call. */
@Serializable
internal data class AdminError(val error: String)
