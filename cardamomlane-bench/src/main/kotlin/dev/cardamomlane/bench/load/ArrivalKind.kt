package dev.cardamomlane.bench.load

/** What an arrival does. */
internal enum class ArrivalKind { WRITE, READ }
