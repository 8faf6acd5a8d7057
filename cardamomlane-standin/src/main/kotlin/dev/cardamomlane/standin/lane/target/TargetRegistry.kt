package dev.cardamomlane.standin.lane.target

/** Where targets register themselves. */
internal interface TargetRegistry {
    /** Adds or replaces the entry of [target]. Has no effect while the registry is unavailable. */
    fun report(target: String, entry: TargetEntry)

    /** Removes the entry of [target]. */
    fun remove(target: String)
}
