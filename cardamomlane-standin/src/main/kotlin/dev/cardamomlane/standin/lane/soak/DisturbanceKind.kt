package dev.cardamomlane.standin.lane.soak

/**
 * What can happen in a soak.
 *
 * @property parts what it meets as a whole; each part has at most one disturbance at a time. Targets are taken one by one,
 *   so that disturbances of different targets overlap
 * @property isPlanned whether callers may expect not to notice it
 */
internal enum class DisturbanceKind(val parts: Set<DisturbedPart>, val isPlanned: Boolean) {
    TARGET_CRASH(emptySet(), isPlanned = false),
    TARGET_RELEASE(emptySet(), isPlanned = true),
    LOST_ANSWERS(emptySet(), isPlanned = false),
    DROPPED_ANSWERS(emptySet(), isPlanned = false),
    HOST_STOP(setOf(DisturbedPart.HOSTS), isPlanned = true),
    HOST_KILL(setOf(DisturbedPart.HOSTS), isPlanned = false),
    HOST_PAUSE(setOf(DisturbedPart.HOSTS), isPlanned = false),
    HOLDER_KILL(setOf(DisturbedPart.HOSTS), isPlanned = false),
    ROLLING_STOP(setOf(DisturbedPart.HOSTS), isPlanned = true),
    STORE_OUTAGE(setOf(DisturbedPart.STORE), isPlanned = false),
    STORE_SLOW(setOf(DisturbedPart.STORE), isPlanned = false),
    STORE_LOST_ANSWERS(setOf(DisturbedPart.STORE), isPlanned = false),
    PROMOTION_SLOW(setOf(DisturbedPart.PROMOTION), isPlanned = false),
    PROMOTION_LOST_ANSWERS(setOf(DisturbedPart.PROMOTION), isPlanned = false),
    REPLICA_LAG(setOf(DisturbedPart.REPLICAS), isPlanned = false),
    RELEASE_AND_CRASH(setOf(DisturbedPart.REPLICAS), isPlanned = false),
    CLOCK_STEP(setOf(DisturbedPart.CLOCKS), isPlanned = false),
    STUTTER(setOf(DisturbedPart.ANSWERS), isPlanned = false),
    HOT_CUSTOMER(setOf(DisturbedPart.CUSTOMERS), isPlanned = true),
    FOREIGN_ROWS(setOf(DisturbedPart.ROWS), isPlanned = true),
    ROUTE_CHANGE(setOf(DisturbedPart.ROUTES, DisturbedPart.REPLICAS), isPlanned = true),
    KEY_WITHDRAWAL(setOf(DisturbedPart.KEYS), isPlanned = true),
}
