package dev.cardamomlane.store

/** What the platform says about a listed host. */
public enum class HostState { LIVE, LEAVING }
