package dev.cardamomlane.standin.lane.wire

/**
 * The names that the published protocol of the users' platform gives to paths, headers, fields, tables and words.
 *
 * Only this file spells them. All other code of the stand-ins uses the product's own terms.
 */
internal object PlatformWords {
    const val TRANSACTION_PATH = "/-/rows-tx"
    const val RANGE_PATH = "/-/rows-get"
    const val FEED_PATH = "/-/rows-feed"
    const val PARTS_PATH = "/-/rows-parts"
    const val PROMOTE_PATH = "/promote"
    const val READY_PATH = "/-/ready"
    const val HEALTH_PATH = "/healthz"

    const val EPOCH_HEADER = "Store-Era"
    const val HOLDER_HEADER = "X-Lease-Holder"
    const val FENCE_HEADER = "X-Fence-Token"
    const val INSTANCE_HEADER = "X-Instance"

    const val OPERATOR_TABLE = "op"
    const val CONFIG_KEY = "config"
    const val TARGET_TABLE = "servers"

    const val VERSION = "ver"
    const val NOW_MILLIS = "nowMs"
    const val WAIT_MILLIS = "waitMs"
    const val DELETED = "tombstone"
    const val PRECONDITION = "precondition"
    const val UPSERTS = "upserts"
    const val REMOVE = "remove"
    const val ACROSS = "across"

    const val GROUP = "service"
    const val ADDRESS = "addr"
    const val WARM_UP_MILLIS = "warmupMs"
    const val SEQUENCE = "seq"
    const val STARTED_AT_MILLIS = "born"
    const val ROLE = "dbRole"
    const val READY = "ready"
    const val DRAINING = "draining"
    const val PRIMARY = "primary"
    const val REPLICA = "replica"
    const val BOUNDED = "bounded"
    const val SESSION = "session"

    const val ROUTES = "routes"
    const val GROUPS = "services"
    const val CUSTOMERS = "tenants"
    const val DATABASE = "host"
    const val ROUTE_TYPE = "type"
    const val TIMEOUT_MILLIS = "timeoutMs"
    const val GOAL_MILLIS = "goalMs"
    const val PRIORITY = "prio"
    const val MAX_STALE_MILLIS = "maxStaleMs"
    const val MAX_CONNECTIONS = "maxConns"
    const val SYNC_REPLICAS = "syncReplicas"
    const val KEYS = "apiKeys"
    const val RATE_PER_SECOND = "opsPerS"
    const val HEADER_MILLIS = "headerMs"
    const val IDLE_MILLIS = "idleMs"
    const val TRANSACTION_IDLE_MILLIS = "txIdleMs"

    const val WRONG_TARGET = "WRONGNODE"
    const val TOO_MANY_CONNECTIONS = "TOOMANY"
    const val BUSY = "BUSY"
    const val LAGGING = "LAGGING"
    const val READ_ONLY = "READONLY"
    const val UNKNOWN_STATEMENT = "NOSTMT"
    const val MALFORMED = "MALFORMED"
    const val ABORTED = "ABORTED"
    const val FAILED = "FAILED"
    const val UNKNOWN_DATABASE = "NODB"
    const val NO_ACCESS = "NOAUTH"
}
