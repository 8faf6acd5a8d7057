package dev.cardamomlane.engine.statement

/** The state of a session between statements. */
public enum class TransactionState { IDLE, OPEN, FAILED }
