package dev.cardamomlane.engine.fleet

/** The store did not answer a read, or refused it. */
public class StoreUnavailableException(message: String) : Exception(message)
