package dev.cardamomlane.engine.statement

/** Whether a session has a transaction between statements: none, an open one, or a failed one that must be ended. */
public enum class TransactionState { IDLE, OPEN, FAILED }
