package dev.cardamomlane.daemon.admin

import kotlinx.serialization.Serializable

/** One database group in `GET /status`. [primary] is null while none is known. */
@Serializable
internal data class GroupReport(val database: String, val term: Long, val primary: String?)
