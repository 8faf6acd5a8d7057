package dev.cardamomlane.engine.forward

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * One step of an operation that another host runs. The first step carries [start].
 *
 * @property operation identifies the operation on its connection
 * @property id the caller's id of the statement
 * @property text the statement, or its arguments when [shape] is set
 * @property shape the shape of the prepared plan to run, or null for a statement that was not prepared
 * @property values the session values, when they differ from those of the operation's last step. An empty map arrives as
 *   null: a session never drops a value, so that it has none only before the first
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class OperationRequest(
    val operation: Long,
    val start: OperationStart?,
    val kind: StepKind,
    val id: String,
    val text: String,
    val shape: String?,
    val values: Map<String, String>?,
)
