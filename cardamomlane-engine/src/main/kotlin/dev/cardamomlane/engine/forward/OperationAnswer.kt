package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TransactionState
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * The answer to one step of a forwarded operation.
 *
 * @property rows as the target sent them
 * @property error the error's code, or null for a success
 * @property errorText explains [error] to people; empty for a success
 * @property state the transaction after the step
 * @property position the log position after the step, or null when it is not known
 * @property configurationVersion the configuration by which the step was decided
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class OperationAnswer(
    val operation: Long,
    val rows: List<String>,
    val digest: String?,
    val error: ErrorCode?,
    val errorText: String,
    val state: TransactionState,
    val position: LogPosition?,
    val configurationVersion: Long,
)
