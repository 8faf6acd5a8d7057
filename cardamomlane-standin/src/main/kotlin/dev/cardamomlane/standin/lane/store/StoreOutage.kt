package dev.cardamomlane.standin.lane.store

/** How a store that is unavailable treats a call, which has no effect. */
internal enum class StoreOutage {
    /** Answers 503. */
    REFUSE,

    /** Never answers. */
    SILENT,

    /** Closes the connection. */
    CLOSE,
}
