package dev.cardamomlane.engine.statement

import kotlinx.serialization.Serializable

/** Whether a session has a transaction between statements: none, an open one, or a failed one that must be ended. */
@Serializable
public enum class TransactionState { IDLE, OPEN, FAILED }
