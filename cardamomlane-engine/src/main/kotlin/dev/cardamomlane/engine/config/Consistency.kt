package dev.cardamomlane.engine.config

/** What a read must see. */
public enum class Consistency {
    /** Every acknowledged write. */
    LATEST,

    /** Every write acknowledged before the route's stated age. */
    BOUNDED,

    /** As [BOUNDED], and every write of the same session. */
    SESSION,
}
