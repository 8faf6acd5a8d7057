package dev.cardamomlane.standin.lane.soak

/**
 * What can happen in a soak.
 *
 * @property part what it meets; one part has at most one disturbance at a time
 * @property isPlanned whether callers may expect not to notice it
 */
internal enum class DisturbanceKind(val part: DisturbedPart, val isPlanned: Boolean) {
    TARGET_CRASH(DisturbedPart.TARGETS, isPlanned = false),
    TARGET_RELEASE(DisturbedPart.TARGETS, isPlanned = true),
    LOST_ANSWERS(DisturbedPart.TARGETS, isPlanned = false),
    HOST_STOP(DisturbedPart.HOSTS, isPlanned = true),
    HOST_KILL(DisturbedPart.HOSTS, isPlanned = false),
    HOST_PAUSE(DisturbedPart.HOSTS, isPlanned = false),
    HOLDER_KILL(DisturbedPart.HOSTS, isPlanned = false),
    ROLLING_STOP(DisturbedPart.HOSTS, isPlanned = true),
    STORE_OUTAGE(DisturbedPart.STORE, isPlanned = false),
    STORE_SLOW(DisturbedPart.STORE, isPlanned = false),
    STORE_LOST_ANSWERS(DisturbedPart.STORE, isPlanned = false),
    PROMOTION_SLOW(DisturbedPart.PROMOTION, isPlanned = false),
    PROMOTION_LOST_ANSWERS(DisturbedPart.PROMOTION, isPlanned = false),
    REPLICA_LAG(DisturbedPart.REPLICAS, isPlanned = false),
    CLOCK_STEP(DisturbedPart.CLOCKS, isPlanned = false),
    HOT_CUSTOMER(DisturbedPart.CUSTOMERS, isPlanned = true),
    FOREIGN_ROWS(DisturbedPart.ROWS, isPlanned = true),
    KEY_WITHDRAWAL(DisturbedPart.KEYS, isPlanned = true),
}
