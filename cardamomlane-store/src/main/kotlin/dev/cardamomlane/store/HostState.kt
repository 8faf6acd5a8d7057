package dev.cardamomlane.store

/** The state of a host in the platform's list. */
public enum class HostState { LIVE, LEAVING }
