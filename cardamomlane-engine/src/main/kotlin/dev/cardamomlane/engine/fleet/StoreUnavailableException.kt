package dev.cardamomlane.engine.fleet

/** The store did not answer, or refused to. */
public class StoreUnavailableException(message: String) : Exception(message)
