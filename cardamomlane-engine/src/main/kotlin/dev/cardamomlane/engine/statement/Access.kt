package dev.cardamomlane.engine.statement

/** Whether a statement changes data. */
public enum class Access { READ, WRITE }
