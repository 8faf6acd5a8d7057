package dev.cardamomlane.standin.lane.soak

/** A part of an installation that disturbances meet. */
internal enum class DisturbedPart { HOSTS, STORE, PROMOTION, ROWS, KEYS, ROUTES, REPLICAS, ANSWERS, CLOCKS, CUSTOMERS }
